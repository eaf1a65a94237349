#include "base/Digest.h"

#include <sys/random.h>

#include <chrono>

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <vector>

namespace papayafield::base {

namespace {

std::string Hex(const unsigned char* aBytes, size_t aCount) {
  static constexpr char kDigits[] = "0123456789abcdef";
  std::string text;
  text.reserve(aCount * 2);
  for (size_t i = 0; i < aCount; ++i) {
    text += kDigits[aBytes[i] >> 4];
    text += kDigits[aBytes[i] & 15];
  }
  return text;
}

} // namespace

std::string Sha256Hex(std::string_view aText) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  EVP_Digest(aText.data(), aText.size(), digest.data(), &size, EVP_sha256(), nullptr);
  return Hex(digest.data(), size);
}

std::string HmacHex(std::string_view aKey, std::string_view aText) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned size = 0;
  HMAC(EVP_sha256(),
       aKey.data(),
       static_cast<int>(aKey.size()),
       reinterpret_cast<const unsigned char*>(aText.data()),
       aText.size(),
       digest.data(),
       &size);
  return Hex(digest.data(), size);
}

bool EqualConstantTime(std::string_view aLeft, std::string_view aRight) {
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

std::string RandomHex(size_t aBytes) {
  std::vector<unsigned char> bytes(aBytes);
  RAND_bytes(bytes.data(), static_cast<int>(aBytes));
  return Hex(bytes.data(), aBytes);
}

uint64_t Hash64(std::string_view aText, uint64_t aSeed) {
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate) {
  return Hash64(aKey, Hash64(aCandidate));
}

uint64_t RandomSeed() {
  uint64_t seed = 0;
  if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed)) {
    seed = static_cast<uint64_t>(std::chrono::steady_clock::now().time_since_epoch().count());
  }
  return seed;
}

} // namespace papayafield::base
