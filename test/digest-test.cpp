#include <agatespread/digest.h>

#include <gtest/gtest.h>

namespace agatespread {

TEST(digest, sha256_matches_the_published_test_vector)
{
    EXPECT_EQ(sha256_hex("abc"),
              "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST(digest, hmac_matches_rfc_4231_case_2)
{
    const sha256_bytes mac = hmac_sha256("Jefe", "what do ya want for nothing?");
    const std::string_view bytes(reinterpret_cast<const char*>(mac.data()), mac.size());
    EXPECT_EQ(to_hex(bytes), "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843");
}

// Guards against a reused HMAC context that keeps the key of the previous call when the new key is
// empty.
TEST(digest, empty_key_does_not_reuse_an_earlier_key)
{
    hmac_sha256("Jefe", "text");
    const sha256_bytes mac = hmac_sha256(std::string_view(), "");
    const std::string_view bytes(reinterpret_cast<const char*>(mac.data()), mac.size());
    EXPECT_EQ(to_hex(bytes), "b613679a0814d9ec772f95d778c35fc5ff1697c493715653c6c712144292c5ad");
}

TEST(digest, constant_time_comparison_rejects_other_bytes_and_lengths)
{
    EXPECT_TRUE(equal_constant_time("abc", "abc"));
    EXPECT_FALSE(equal_constant_time("abc", "abd"));
    EXPECT_FALSE(equal_constant_time("abc", "abcd"));
}

TEST(digest, rendezvous_rank_depends_on_role_and_member)
{
    EXPECT_EQ(rendezvous_rank("readers/a", "n1"), rendezvous_rank("readers/a", "n1"));
    EXPECT_NE(rendezvous_rank("readers/a", "n1"), rendezvous_rank("readers/b", "n1"));
    EXPECT_NE(rendezvous_rank("readers/a", "n1"), rendezvous_rank("readers/a", "n2"));
}

} // namespace agatespread
