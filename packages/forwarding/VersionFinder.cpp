#include "forwarding/VersionFinder.h"

#include <utility>

namespace papayafield::forwarding {

/// One search. Ends with the first part that succeeds, or when both have failed.
struct VersionFinder::Search {
  void End(const std::optional<std::string>& aVersion, VersionSource aSource) {
    if (m_onFound) {
      std::exchange(m_onFound, nullptr)(aVersion, aSource);
    }
  }
  void EndPart() {
    if (--m_parts == 0) {
      End(std::nullopt, VersionSource::None);
    }
  }

  ResumedStream m_stream;
  OnFound m_onFound;
  /// Parts of the search that may still succeed: the peers and the confirmation of the view.
  int m_parts = 2;
};

std::optional<std::string> VersionFinder::OnlyVersion(const ResumedStream& aStream) const {
  return m_history.OnlyVersion(aStream.m_service, aStream.m_lifetime, base::BootNow());
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
  m_origins.Find(aStream.m_callId, aMaxWait, [search](const std::optional<std::string>& aVersion) {
    if (aVersion) {
      search->End(aVersion, VersionSource::Peer);
    } else {
      search->EndPart();
    }
  });
  if (!search->m_onFound) {
    return;
  }
  if (OnlyVersion(aStream)) {
    Confirm(aMaxWait, [this, search](bool aCurrent) { OnViewChecked(search, aCurrent); });
  } else {
    search->EndPart();
  }
}

void VersionFinder::OnViewChecked(const std::shared_ptr<Search>& aSearch, bool aCurrent) {
  // The view that is confirmed now may have got a second version meanwhile.
  const auto version =
    aCurrent && aSearch->m_onFound ? OnlyVersion(aSearch->m_stream) : std::nullopt;
  if (!version) {
    aSearch->EndPart();
    return;
  }
  aSearch->End(version, VersionSource::OnlyVersion);
  // Ends the question to the peers.
  m_origins.Merge({ { fleet::StreamKeyOf(aSearch->m_stream.m_callId), *version } });
}

} // namespace papayafield::forwarding
