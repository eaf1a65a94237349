#pragma once

#include "adapters/http/HttpClient.h"
#include "base/EnumNames.h"

#include <functional>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace papayafield::adapters::platform {

/// One value of the key-value service.
struct KeyValueEntry {
  std::string m_key;
  std::string m_value;
  /// Grows with each change of the key; 0 stands for absent.
  uint64_t m_version = 0;
};

/// Why a call of the key-value service did not succeed.
enum class KeyValueFault {
  /// The key has another version than expected; nothing was changed.
  Conflict,
  /// The service refused or was not reached; nothing was changed.
  Unavailable,
  /// No answer came: a change may or may not have taken effect.
  Ambiguous,
};

/// Speaks with the platform's key-value service over HTTP. Each call counts against the service's
/// rates. Belongs to the thread of its client.
class KeyValueClient {
public:
  /// The entry, absent as version 0, or the fault.
  using ReadResult = tl::expected<KeyValueEntry, KeyValueFault>;
  /// The new version, or the fault.
  using SwapResult = tl::expected<uint64_t, KeyValueFault>;

  /// Speaks with the service at `aService`; each call takes at most `aTimeout`.
  KeyValueClient(http::HttpClient& aClient, base::Address aService, base::Millis aTimeout);

  /// Reads one key.
  void Read(const std::string& aKey, std::function<void(ReadResult)> aOnDone);
  /// Waits up to `aWait` for a version other than `aVersion`, then reads the key.
  void Watch(const std::string& aKey,
             uint64_t aVersion,
             base::Millis aWait,
             std::function<void(ReadResult)> aOnDone);
  /// Reads all keys that start with `aPrefix`.
  void List(const std::string& aPrefix,
            std::function<void(tl::expected<std::vector<KeyValueEntry>, KeyValueFault>)> aOnDone);
  /// Writes the key if its version is `aExpected` (0: if it is absent). With `aLease`, the key goes
  /// when the lease lapses.
  void Swap(const std::string& aKey,
            std::string aValue,
            uint64_t aExpected,
            const std::string& aLease,
            std::function<void(SwapResult)> aOnDone);
  /// Removes the key if its version is `aExpected`.
  void Remove(const std::string& aKey, uint64_t aExpected, std::function<void(SwapResult)> aOnDone);
  /// Makes a lease that lasts `aLife` from its last renewal; its name, or nothing.
  void Grant(base::Millis aLife, std::function<void(std::optional<std::string>)> aOnDone);
  /// Renews a lease; false when it has lapsed or the service was not reached.
  void Renew(const std::string& aLease, std::function<void(bool)> aOnDone);

  /// Calls made so far.
  uint64_t Calls() const { return m_calls; }

private:
  http::HttpRequest Prepare(std::string aMethod, std::string aTarget);

  http::HttpClient& m_client;
  base::Address m_service;
  base::Millis m_timeout;
  uint64_t m_calls = 0;
};

} // namespace papayafield::adapters::platform

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<adapters::platform::KeyValueFault> =
  std::to_array<EnumName<adapters::platform::KeyValueFault>>({
    { adapters::platform::KeyValueFault::Conflict, "conflict" },
    { adapters::platform::KeyValueFault::Unavailable, "unavailable" },
    { adapters::platform::KeyValueFault::Ambiguous, "ambiguous" },
  });

} // namespace papayafield::base
