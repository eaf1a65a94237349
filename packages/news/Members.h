#pragma once

#include "base/Time.h"
#include "news/Beat.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace papayafield::news {

/// Another node as this one knows it.
struct Peer {
  Contact m_contact;
  base::ZoneId m_zone;
  bool m_ready = false;
  bool m_stopping = false;
  bool m_storeAnswers = false;
  int64_t m_configuration = 0;
  uint64_t m_revision = 0;
  double m_workAsked = 0;
  /// Whether the store lists it.
  bool m_registered = false;
  /// When its last beat came; nothing before the first.
  std::optional<base::TimePoint> m_heard;
  /// When it was last known to be there, by a beat or otherwise.
  base::TimePoint m_known{};
};

/// The other nodes, from their beats and their registrations in the store. Not thread safe.
class Members {
public:
  /// This node is `aSelf`.
  explicit Members(Contact aSelf)
    : m_self(std::move(aSelf)) {}

  /// Takes a beat; false when it comes from this node or from an earlier life of its sender.
  bool Hear(const Beat& aBeat, base::TimePoint aNow);
  /// A node is listed in the store, or named by a peer (`aRegistered` false).
  void Learn(const Contact& aContact, bool aRegistered, base::TimePoint aNow);
  /// A node is no longer listed.
  void Unregister(const base::NodeId& aNode);
  /// Forgets nodes that are not listed and that have ended or have not been heard for long. Gives
  /// their names.
  std::vector<base::NodeId> Forget(base::TimePoint aNow);

  /// How far apart the beats of one node are; a node counts as away after some that are missing.
  void SetBeatInterval(base::Millis aInterval) { m_interval = aInterval; }
  /// Whether a beat came lately.
  bool Alive(const Peer& aPeer, base::TimePoint aNow) const;
  /// All other nodes, by name.
  const std::map<base::NodeId, Peer>& All() const { return m_peers; }
  /// Hosts of live nodes of `aZone`, this one left out.
  std::vector<std::string> HostsOf(const base::ZoneId& aZone, base::TimePoint aNow) const;
  /// Hosts of other nodes that callers may be sent to.
  std::vector<std::string> ReadyHosts(base::TimePoint aNow) const;
  /// Nodes alive, this one included.
  size_t AliveCount(base::TimePoint aNow) const;
  /// Nodes known, this one included; some may serve callers without being heard.
  size_t KnownCount() const { return m_peers.size() + 1; }
  /// The live peer that knows the latest change of the store; null when none knows more than
  /// `aRevision`. Those at `aSkipped` are passed over.
  const Peer* Ahead(uint64_t aRevision,
                    base::TimePoint aNow,
                    const std::set<std::string>& aSkipped = {}) const;
  /// Whether each known node that is not stopping has been heard within `aSpan`. One that is silent
  /// may be frozen or cut off, and still hold news.
  bool AllHeardWithin(base::Millis aSpan, base::TimePoint aNow) const;
  /// Live ready nodes that started before this one, and so have heard more.
  size_t OlderCount(base::TimePoint aNow) const;
  /// Live nodes of `aZone` that started before this one and that the store answers.
  size_t OlderFollowers(const base::ZoneId& aZone, base::TimePoint aNow) const;
  /// Whether the store answers any live peer.
  bool AnyStoreAnswers(base::TimePoint aNow) const;

private:
  bool Older(const Peer& aPeer) const;
  bool HeardLately(const Peer& aPeer, base::TimePoint aNow) const;

  Contact m_self;
  base::Millis m_interval{ 250 };
  std::map<base::NodeId, Peer> m_peers;
};

} // namespace papayafield::news
