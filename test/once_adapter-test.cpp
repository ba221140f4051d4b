#include "once_adapter.h"

#include <gtest/gtest.h>

#include <string>

namespace agatespread {

TEST(once_adapter, recorded_response_is_read_back_whole)
{
    http_response response;
    response.status = 201;
    response.headers.add("Content-Type", "application/json");
    response.headers.add("Set-Cookie", "a=1");
    response.headers.add("Set-Cookie", "b=2");
    response.body = std::string("{\"a\":\0}", 7);
    const http_response read = decode_recorded(encode_recorded(response));
    EXPECT_EQ(read.status, 201);
    EXPECT_EQ(read.headers.fields(), response.headers.fields());
    EXPECT_EQ(read.body, response.body);
}

// Guards against a row in the platform's table that is not a response: it must not crash the node
// or be returned to a caller as a response.
TEST(once_adapter, malformed_record_becomes_an_error)
{
    EXPECT_EQ(decode_recorded("").status, 502);
    EXPECT_EQ(decode_recorded(std::string("\xff\x00garbage", 9)).status, 502);
    EXPECT_EQ(decode_recorded("\x83\x01\x02\x03").status, 502);
}

} // namespace agatespread
