#include "deflate.h"

#include <gtest/gtest.h>

#include <random>

namespace agatespread::detail {

TEST(deflate, compression_round_trip_restores_the_input)
{
    std::string text;
    for (int rule = 0; rule < 5000; ++rule) {
        text += "{\"name\":\"rule-" + std::to_string(rule) + "\"}";
    }
    const std::string compressed = deflate_bytes(text);
    EXPECT_LT(compressed.size() * 4, text.size());
    EXPECT_EQ(inflate_bytes(compressed, text.size()).value(), text);
    EXPECT_EQ(inflate_bytes(deflate_bytes(""), 10).value(), "");
}

// Guards against corrupt input and against a small message that decompresses to far more than the
// limit.
TEST(deflate, corrupt_and_oversized_input_is_rejected)
{
    const std::string compressed = deflate_bytes(std::string(1U << 20U, 'x'));
    EXPECT_FALSE(inflate_bytes(compressed, 1000).ok());
    EXPECT_FALSE(inflate_bytes("", 1000).ok());
    EXPECT_FALSE(inflate_bytes(compressed.substr(0, compressed.size() / 2), 2U << 20U).ok());
    std::mt19937_64 engine(7);
    for (int round = 0; round < 200; ++round) {
        std::string corrupt = compressed;
        corrupt[engine() % corrupt.size()] = static_cast<char>(engine());
        const absl::StatusOr<std::string> inflated = inflate_bytes(corrupt, 2U << 20U);
        EXPECT_TRUE(!inflated.ok() || *inflated == std::string(1U << 20U, 'x')) << round;
    }
}

} // namespace agatespread::detail
