// Guards against digests that differ from those of other implementations, which
// would make the hosts of a rolling update disagree on keys. The expected
// digests are those of sha256sum.
#include "berylreach/base/sha256.h"

#include <gtest/gtest.h>

#include <cstdio>
#include <string>

namespace berylreach::base {
namespace {

std::string HexOf(std::string_view bytes) {
  std::string text;
  for (const std::uint8_t byte : Sha256(bytes)) {
    char digits[3];
    std::snprintf(digits, sizeof(digits), "%02x", byte);
    text += digits;
  }
  return text;
}

TEST(Sha256Test, MatchesKnownDigests) {
  EXPECT_EQ(HexOf(""),
            "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855");
  EXPECT_EQ(HexOf("abc"),
            "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// The padding fills the last block, starts another one, or follows whole
// blocks.
TEST(Sha256Test, PadsAtTheBoundsOfBlocks) {
  EXPECT_EQ(HexOf(std::string(55, 'a')),
            "9f4390f8d30c2dd92ec9f095b65e2b9ae9b0a925a5258e241c9f1e910f734318");
  EXPECT_EQ(HexOf(std::string(56, 'a')),
            "b35439a4ac6f0948b6d6f9e3c6af0f5f590ce20f1bde7090ef7970686ec6738a");
  EXPECT_EQ(HexOf(std::string(64, 'a')),
            "ffe054fe7ae0cb6dc65c3af9b61d5209f439851db43d0ba5997337df154668eb");
  EXPECT_EQ(HexOf(std::string(200, 'a')),
            "c2a908d98f5df987ade41b5fce213067efbcc21ef2240212a41e54b5e7c28ae5");
}

}  // namespace
}  // namespace berylreach::base
