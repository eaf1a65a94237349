#include "forwarding/VersionFinder.h"

#include <utility>

namespace papayafield::forwarding {

namespace {

/// Time for the peers to answer before the only version is taken; they may have been asked twice by
/// then.
constexpr base::Millis kPeerHeadStart{ 100 };

} // namespace

/// One search, of which the peers and the view of the registrations are the two parts.
struct VersionFinder::Search {
  void End(const std::optional<std::string>& aVersion, VersionSource aSource) {
    m_timer.reset();
    if (m_onFound) {
      std::exchange(m_onFound, nullptr)(aVersion, aSource);
    }
  }

  ResumedStream m_stream;
  OnFound m_onFound;
  bool m_peersEnded = false;
  /// Whether the view is confirmed; nullopt until that is known.
  std::optional<bool> m_isConfirmed;
  adapters::http::EventHandlePtr m_timer;
};

std::optional<std::string> VersionFinder::OnlyVersion(const ResumedStream& aStream) const {
  return m_history.OnlyVersion(aStream.m_service, base::BootNow());
}

void VersionFinder::Confirm(base::Millis aMaxWait,
                            std::function<void(bool aCurrent)> aOnDone) const {
  if (m_confirmView) {
    m_confirmView(aMaxWait, std::move(aOnDone));
  } else {
    aOnDone(false);
  }
}

void VersionFinder::Find(const ResumedStream& aStream, base::Millis aMaxWait, OnFound aOnFound) {
  const fleet::StreamKey key = fleet::StreamKeyOf(aStream.m_callId);
  if (const auto known = m_origins.Known({ key }); !known.empty()) {
    aOnFound(known.front().m_version, VersionSource::Record);
    return;
  }
  auto search = std::make_shared<Search>();
  search->m_stream = aStream;
  search->m_onFound = std::move(aOnFound);
  m_origins.Find(
    aStream.m_callId, aMaxWait, [this, search](const std::optional<std::string>& aVersion) {
      OnPeersAnswered(search, aVersion);
    });
  if (!search->m_onFound) {
    return;
  }
  if (OnlyVersion(aStream)) {
    Confirm(aMaxWait, [this, search](bool aCurrent) { OnViewChecked(search, aCurrent); });
  } else {
    OnViewChecked(search, false);
  }
}

void VersionFinder::OnPeersAnswered(const std::shared_ptr<Search>& aSearch,
                                    const std::optional<std::string>& aVersion) const {
  aSearch->m_peersEnded = true;
  if (aVersion) {
    aSearch->End(aVersion, VersionSource::Peer);
  } else if (aSearch->m_isConfirmed) {
    TakeOnlyVersion(*aSearch);
  }
}

void VersionFinder::OnViewChecked(const std::shared_ptr<Search>& aSearch, bool aCurrent) const {
  aSearch->m_isConfirmed = aCurrent;
  if (aSearch->m_peersEnded) {
    TakeOnlyVersion(*aSearch);
  } else if (aCurrent) {
    // A peer that knows the stream is right even if this node's memory of versions is not.
    aSearch->m_timer = m_loop.After(kPeerHeadStart, [this, weak = std::weak_ptr(aSearch)] {
      if (const auto search = weak.lock(); search && OnlyVersion(search->m_stream)) {
        TakeOnlyVersion(*search);
      }
    });
  }
}

void VersionFinder::TakeOnlyVersion(Search& aSearch) const {
  const auto version =
    aSearch.m_isConfirmed.value_or(false) ? OnlyVersion(aSearch.m_stream) : std::nullopt;
  aSearch.End(version, version ? VersionSource::OnlyVersion : VersionSource::None);
}

} // namespace papayafield::forwarding
