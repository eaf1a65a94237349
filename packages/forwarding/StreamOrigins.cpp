#include "forwarding/StreamOrigins.h"

#include <algorithm>
#include <utility>

namespace papayafield::forwarding {

namespace {

/// Maximum number of streams that are remembered.
constexpr size_t kMaxStreams = 32768;
/// Time in which origins are collected, so that one datagram carries many.
constexpr base::Millis kSendDelay{ 30 };
/// The same for questions, whose callers wait.
constexpr base::Millis kAskDelay{ 4 };
/// Interval after which unanswered questions are asked again, since datagrams get lost.
constexpr base::Millis kAskInterval{ 80 };

} // namespace

void StreamOrigins::SetSenders(std::function<void(const Origins&)> aSendToKeepers,
                               std::function<size_t(const Keys&)> aAskAll) {
  m_sendToKeepers = std::move(aSendToKeepers);
  m_askAll = std::move(aAskAll);
}

void StreamOrigins::Insert(fleet::StreamKey aKey, const std::string& aVersion) {
  if (!m_versions.try_emplace(aKey, aVersion).second) {
    return;
  }
  m_recorded.emplace_back(base::BootNow(), aKey);
  while (m_recorded.size() > kMaxStreams) {
    Forget(m_recorded.front().second);
    m_recorded.pop_front();
  }
}

void StreamOrigins::Forget(fleet::StreamKey aKey) {
  m_versions.erase(aKey);
  m_incomplete.erase(aKey);
  m_unsaved.erase(aKey);
}

void StreamOrigins::Record(const std::string& aCallId, const std::string& aVersion) {
  const fleet::StreamKey key = fleet::StreamKeyOf(aCallId);
  Insert(key, aVersion);
  m_incomplete.insert(key);
  m_unsaved.insert(key);
  m_unsent.push_back({ key, m_versions.at(key) });
  SendLater();
  m_expected.erase(key);
  EndSearch(key, m_versions.at(key));
}

void StreamOrigins::Expect(const std::string& aCallId) {
  ++m_expected[fleet::StreamKeyOf(aCallId)];
}

void StreamOrigins::Dismiss(const std::string& aCallId) {
  const auto expected = m_expected.find(fleet::StreamKeyOf(aCallId));
  if (expected != m_expected.end() && --expected->second == 0) {
    m_expected.erase(expected);
  }
}

void StreamOrigins::OnComplete(const std::string& aCallId) {
  const fleet::StreamKey key = fleet::StreamKeyOf(aCallId);
  m_expected.erase(key);
  m_incomplete.erase(key);
  m_unsaved.erase(key);
}

void StreamOrigins::SendIncomplete() {
  for (const fleet::StreamKey key : m_incomplete) {
    m_unsaved.insert(key);
    m_unsent.push_back({ key, m_versions.at(key) });
  }
  SendLater();
}

void StreamOrigins::Merge(const Origins& aOrigins) {
  for (const fleet::StreamOrigin& origin : aOrigins) {
    Insert(origin.m_stream, origin.m_version);
    m_unsaved.insert(origin.m_stream);
    EndSearch(origin.m_stream, m_versions.at(origin.m_stream));
  }
}

void StreamOrigins::OnUnknown(const std::string& aHost, const Keys& aKeys) {
  for (const fleet::StreamKey key : aKeys) {
    const auto search = m_searches.find(key);
    if (search == m_searches.end()) {
      continue;
    }
    search->second.m_unknownAt.insert(aHost);
    if (search->second.m_asked > 0 && search->second.m_unknownAt.size() >= search->second.m_asked &&
        !IsExpected(key)) {
      EndSearch(key, std::nullopt);
    }
  }
}

void StreamOrigins::MergeSaved(const Origins& aOrigins) {
  Merge(aOrigins);
  for (const fleet::StreamOrigin& origin : aOrigins) {
    m_unsaved.erase(origin.m_stream);
  }
}

StreamOrigins::Origins StreamOrigins::TakeUnsaved(size_t aMaxCount) {
  Origins taken;
  for (auto recorded = m_recorded.rbegin();
       recorded != m_recorded.rend() && !m_unsaved.empty() && taken.size() < aMaxCount;
       ++recorded) {
    const fleet::StreamKey key = recorded->second;
    if (m_unsaved.erase(key) != 0) {
      taken.push_back({ key, m_versions.at(key) });
    }
  }
  return taken;
}

StreamOrigins::Origins StreamOrigins::Known(const Keys& aKeys) const {
  Origins known;
  for (const fleet::StreamKey key : aKeys) {
    if (const auto found = m_versions.find(key); found != m_versions.end()) {
      known.push_back({ key, found->second });
    }
  }
  return known;
}

void StreamOrigins::Find(const std::string& aCallId, base::Millis aMaxWait, OnFound aOnFound) {
  const fleet::StreamKey key = fleet::StreamKeyOf(aCallId);
  if (const auto found = m_versions.find(key); found != m_versions.end()) {
    aOnFound(found->second);
    return;
  }
  if (!m_askAll || aMaxWait <= base::Millis(0)) {
    aOnFound(std::nullopt);
    return;
  }
  Search& search = m_searches[key];
  search.m_onFound.push_back(std::move(aOnFound));
  if (search.m_timeout == nullptr) {
    search.m_timeout = m_loop.After(aMaxWait, [this, key] { EndSearch(key, std::nullopt); });
    m_unasked.push_back(key);
    if (m_askTimer == nullptr) {
      m_askTimer = m_loop.After(kAskDelay, [this] { Ask(); });
    }
  }
}

void StreamOrigins::EndSearch(fleet::StreamKey aKey, const std::optional<std::string>& aVersion) {
  const auto search = m_searches.extract(aKey);
  if (search.empty()) {
    return;
  }
  for (const OnFound& onFound : search.mapped().m_onFound) {
    onFound(aVersion);
  }
}

void StreamOrigins::SendLater() {
  if (m_sendTimer == nullptr && m_sendToKeepers && !m_unsent.empty()) {
    m_sendTimer = m_loop.After(kSendDelay, [this] {
      m_sendTimer.reset();
      m_sendToKeepers(std::exchange(m_unsent, {}));
    });
  }
}

void StreamOrigins::Ask() {
  m_askTimer.reset();
  const Keys keys = std::exchange(m_unasked, {});
  if (keys.empty()) {
    return;
  }
  const size_t asked = m_askAll(keys);
  for (const fleet::StreamKey key : keys) {
    if (asked == 0 && !IsExpected(key)) {
      EndSearch(key, std::nullopt);
    } else if (const auto search = m_searches.find(key); search != m_searches.end()) {
      if (search->second.m_asked != asked) {
        search->second.m_unknownAt.clear();
      }
      search->second.m_asked = asked;
    }
  }
  m_repeatTimer = m_loop.After(kAskInterval, [this] { AskAgain(); });
}

void StreamOrigins::AskAgain() {
  m_unasked.clear();
  for (const auto& [key, search] : m_searches) {
    m_unasked.push_back(key);
  }
  Ask();
}

void StreamOrigins::RemoveExpired(base::Millis aRetention, base::TimePoint aNow) {
  while (!m_recorded.empty() && aNow - m_recorded.front().first > aRetention) {
    Forget(m_recorded.front().second);
    m_recorded.pop_front();
  }
}

} // namespace papayafield::forwarding
