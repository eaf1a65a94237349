#pragma once

#include "base/EnumNames.h"
#include "base/Time.h"
#include "fleet/VersionHistory.h"
#include "forwarding/StreamOrigins.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace papayafield::forwarding {

/// Where the version that began a stream is known from.
enum class VersionSource {
  /// This node's own record of streams.
  Record,
  /// The record of a peer.
  Peer,
  /// Only one version is remembered, by a view that was confirmed after the stream was resumed, and
  /// no peer has named another one.
  OnlyVersion,
  /// The version is unknown.
  None,
};

/// A stream that a caller resumes.
struct ResumedStream {
  /// Call that brought the first event of the stream.
  std::string m_callId;
  fleet::ServiceId m_service;
};

/// Finds the software version that began a stream. Belongs to the event loop's thread.
class VersionFinder {
public:
  /// Called with the version; nullopt and VersionSource::None if it is unknown.
  using OnFound =
    std::function<void(const std::optional<std::string>& aVersion, VersionSource aSource)>;
  /// Confirms within the given time that the view of the registered endpoints contains all that the
  /// store had acknowledged when it was called, and calls back with whether it does.
  using ConfirmView =
    std::function<void(base::Millis aMaxWait, std::function<void(bool aCurrent)> aOnDone)>;

  /// `aLoop`, `aOrigins` and `aHistory` must outlive the object.
  VersionFinder(adapters::http::EventLoop& aLoop,
                StreamOrigins& aOrigins,
                const fleet::VersionHistory& aHistory)
    : m_loop(aLoop)
    , m_origins(aOrigins)
    , m_history(aHistory) {}

  /// Sets what confirms the view. Before that, a version is never taken for the only one.
  void SetConfirmView(ConfirmView aConfirmView) { m_confirmView = std::move(aConfirmView); }

  /// Confirms the view of the registered endpoints; calls back at once with false if nothing can.
  void Confirm(base::Millis aMaxWait, std::function<void(bool aCurrent)> aOnDone) const;
  /// Calls `aOnFound` once: at once if this node knows the stream, otherwise as soon as a peer
  /// states the version, or from a confirmed view after the peers have had time to answer, or when
  /// both are known not to help, at the latest after `aMaxWait`.
  void Find(const ResumedStream& aStream, base::Millis aMaxWait, OnFound aOnFound);

private:
  struct Search;

  void OnPeersAnswered(const std::shared_ptr<Search>& aSearch,
                       const std::optional<std::string>& aVersion) const;
  void OnViewChecked(const std::shared_ptr<Search>& aSearch, bool aCurrent) const;
  void TakeOnlyVersion(Search& aSearch) const;
  std::optional<std::string> OnlyVersion(const ResumedStream& aStream) const;

  adapters::http::EventLoop& m_loop;
  StreamOrigins& m_origins;
  const fleet::VersionHistory& m_history;
  ConfirmView m_confirmView;
};

} // namespace papayafield::forwarding

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<forwarding::VersionSource> =
  std::to_array<EnumName<forwarding::VersionSource>>({
    { forwarding::VersionSource::Record, "record" },
    { forwarding::VersionSource::Peer, "peer" },
    { forwarding::VersionSource::OnlyVersion, "only_version" },
    { forwarding::VersionSource::None, "none" },
  });

} // namespace papayafield::base
