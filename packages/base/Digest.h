#pragma once

#include <cstdint>
#include <string>
#include <string_view>

/// \file
/// Digests, random values and hashes. All functions are thread safe.

namespace papayafield::base {

/// Returns the SHA-256 of `aText` as 64 hexadecimal digits.
std::string Sha256Hex(std::string_view aText);

/// Returns the HMAC-SHA-256 of `aText` under `aKey` as 64 hexadecimal digits.
std::string HmacHex(std::string_view aKey, std::string_view aText);

/// Compares two strings in time that does not depend on where they differ, to prevent timing
/// attacks on secrets.
bool EqualConstantTime(std::string_view aLeft, std::string_view aRight);

/// Returns `aBytes` bytes from a cryptographic random generator as 2 * `aBytes` hexadecimal digits.
std::string RandomHex(size_t aBytes);

/// Returns a fast, non-cryptographic hash of `aText`, used for placement.
uint64_t Hash64(std::string_view aText, uint64_t aSeed = 0);

/// Returns the weight of `aCandidate` for `aKey` in rendezvous hashing. The candidate with the
/// highest weight is chosen.
uint64_t RendezvousWeight(std::string_view aKey, std::string_view aCandidate);

/// Returns a seed for a random number generator, taken from the operating system.
uint64_t RandomSeed();

} // namespace papayafield::base
