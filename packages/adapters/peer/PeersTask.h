#pragma once

#include "adapters/peer/DatagramSocket.h"
#include "adapters/peer/PeerClients.h"
#include "adapters/peer/PeerServer.h"
#include "base/Log.h"
#include "base/Timeline.h"
#include "settings/NodeSettings.h"
#include "tasks/Messages.h"

#include <kj/async-io.h>
#include <kj/async-unix.h>

namespace papayafield::adapters::peer {

/// The peers task: owns the datagram socket, the connections between nodes and the membership. Runs
/// on one thread with a loop of kj.
class PeersTask {
public:
  /// Prepares the task for the node `aSelf`. All arguments must outlive it.
  PeersTask(const settings::NodeSettings& aSettings,
            tasks::Member aSelf,
            base::Timeline& aTimeline,
            tasks::Mailboxes& aMailboxes);

  /// Whether the node's peer address could be had.
  bool Bound() const { return m_socket.Bound(); }
  /// Works until a StopTask message comes.
  void Run();

private:
  class Loop;

  const settings::NodeSettings& m_settings;
  tasks::Member m_self;
  base::Timeline& m_timeline;
  tasks::Mailboxes& m_mailboxes;
  DatagramSocket m_socket;
};

} // namespace papayafield::adapters::peer
