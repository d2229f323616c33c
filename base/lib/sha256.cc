// The padding and the compression function of SHA-256.
#include "berylreach/base/sha256.h"

#include <algorithm>
#include <bit>
#include <string>

namespace berylreach::base {
namespace {

constexpr std::size_t kBlockBytes = 64;
constexpr std::size_t kRounds = 64;
constexpr std::size_t kWords = 8;

using State = std::array<std::uint32_t, kWords>;

/// The first 32 bits of the fractional parts of the square roots of the first 8
/// primes.
constexpr State kInitialState = {0x6a09e667, 0xbb67ae85, 0x3c6ef372,
                                 0xa54ff53a, 0x510e527f, 0x9b05688c,
                                 0x1f83d9ab, 0x5be0cd19};

/// The first 32 bits of the fractional parts of the cube roots of the first 64
/// primes.
constexpr std::array<std::uint32_t, kRounds> kRoundConstants = {
    0x428a2f98, 0x71374491, 0xb5c0fbcf, 0xe9b5dba5, 0x3956c25b, 0x59f111f1,
    0x923f82a4, 0xab1c5ed5, 0xd807aa98, 0x12835b01, 0x243185be, 0x550c7dc3,
    0x72be5d74, 0x80deb1fe, 0x9bdc06a7, 0xc19bf174, 0xe49b69c1, 0xefbe4786,
    0x0fc19dc6, 0x240ca1cc, 0x2de92c6f, 0x4a7484aa, 0x5cb0a9dc, 0x76f988da,
    0x983e5152, 0xa831c66d, 0xb00327c8, 0xbf597fc7, 0xc6e00bf3, 0xd5a79147,
    0x06ca6351, 0x14292967, 0x27b70a85, 0x2e1b2138, 0x4d2c6dfc, 0x53380d13,
    0x650a7354, 0x766a0abb, 0x81c2c92e, 0x92722c85, 0xa2bfe8a1, 0xa81a664b,
    0xc24b8b70, 0xc76c51a3, 0xd192e819, 0xd6990624, 0xf40e3585, 0x106aa070,
    0x19a4c116, 0x1e376c08, 0x2748774c, 0x34b0bcb5, 0x391c0cb3, 0x4ed8aa4a,
    0x5b9cca4f, 0x682e6ff3, 0x748f82ee, 0x78a5636f, 0x84c87814, 0x8cc70208,
    0x90befffa, 0xa4506ceb, 0xbef9a3f7, 0xc67178f2};

std::uint32_t ReadWord(std::string_view bytes) {
  std::uint32_t word = 0;
  for (std::size_t i = 0; i < sizeof(word); ++i)
    word = word << 8U | static_cast<std::uint8_t>(bytes[i]);
  return word;
}

std::array<std::uint32_t, kRounds> MessageSchedule(std::string_view block) {
  std::array<std::uint32_t, kRounds> words{};
  for (std::size_t i = 0; i < kRounds; ++i) {
    if (i < kBlockBytes / sizeof(std::uint32_t)) {
      words[i] = ReadWord(block.substr(i * sizeof(std::uint32_t)));
      continue;
    }
    const std::uint32_t a = words[i - 15];
    const std::uint32_t b = words[i - 2];
    words[i] = words[i - 16] + words[i - 7] +
               (std::rotr(a, 7) ^ std::rotr(a, 18) ^ a >> 3U) +
               (std::rotr(b, 17) ^ std::rotr(b, 19) ^ b >> 10U);
  }
  return words;
}

void Compress(std::string_view block, State& state) {
  const auto words = MessageSchedule(block);
  auto [a, b, c, d, e, f, g, h] = state;
  for (std::size_t i = 0; i < kRounds; ++i) {
    const std::uint32_t choice = (e & f) ^ (~e & g);
    const std::uint32_t majority = (a & b) ^ (a & c) ^ (b & c);
    const std::uint32_t first =
        h + (std::rotr(e, 6) ^ std::rotr(e, 11) ^ std::rotr(e, 25)) + choice +
        kRoundConstants[i] + words[i];
    const std::uint32_t second =
        (std::rotr(a, 2) ^ std::rotr(a, 13) ^ std::rotr(a, 22)) + majority;
    h = g;
    g = f;
    f = e;
    e = d + first;
    d = c;
    c = b;
    b = a;
    a = first + second;
  }
  const State result = {a, b, c, d, e, f, g, h};
  for (std::size_t i = 0; i < kWords; ++i) state[i] += result[i];
}

/// Returns the last incomplete block with the padding, which ends with the
/// length of the message in bits.
std::string PaddedTail(std::string_view tail, std::uint64_t message_bytes) {
  std::string padded(tail);
  padded += '\x80';
  constexpr std::size_t length_bytes = sizeof(std::uint64_t);
  while (padded.size() % kBlockBytes != kBlockBytes - length_bytes)
    padded += '\0';
  for (std::size_t i = length_bytes; i > 0; --i)
    padded += static_cast<char>(message_bytes * 8 >> 8 * (i - 1));
  return padded;
}

}  // namespace

Sha256Digest Sha256(std::string_view bytes) {
  State state = kInitialState;
  const std::uint64_t size = bytes.size();
  for (; bytes.size() >= kBlockBytes; bytes.remove_prefix(kBlockBytes))
    Compress(bytes.substr(0, kBlockBytes), state);
  const std::string padded = PaddedTail(bytes, size);
  for (std::string_view rest = padded; !rest.empty();
       rest.remove_prefix(kBlockBytes))
    Compress(rest.substr(0, kBlockBytes), state);
  Sha256Digest digest{};
  for (std::size_t i = 0; i < digest.size(); ++i)
    digest[i] = static_cast<std::uint8_t>(state[i / 4] >> 8 * (3 - i % 4));
  return digest;
}

}  // namespace berylreach::base
