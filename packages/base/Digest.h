#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// Digests, random text and hashes. All functions are thread safe.

namespace papayafield::base {

/// SHA-256 of `aText` as 64 hexadecimal digits.
std::string Sha256Hex(std::string_view aText);

/// HMAC-SHA-256 of `aText` under `aKey` as 64 hexadecimal digits.
std::string HmacHex(std::string_view aKey, std::string_view aText);

/// Compares in a time that does not depend on where the texts differ.
bool EqualConstantTime(std::string_view aLeft, std::string_view aRight);

/// Text of 2 * `aBytes` hexadecimal digits that nobody can guess.
std::string RandomHex(size_t aBytes);

/// A fast hash of `aText` for placement; not for secrets.
uint64_t Hash64(std::string_view aText, uint64_t aSeed = 0);

/// The weight of `aCandidate` for `aKey` in a rendezvous hash; the highest wins.
uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

/// A seed for a generator of random numbers, from the operating system. Thread safe.
uint64_t RandomSeed();

} // namespace papayafield::base
