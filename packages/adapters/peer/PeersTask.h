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

/// The task that communicates with other nodes. It owns the datagram socket, the connections to
/// other nodes and the membership protocol, and runs a kj event loop on one thread.
class PeersTask {
public:
  /// Creates the task of the node `aSelf` and binds its socket. The references must outlive it.
  PeersTask(const settings::NodeSettings& aSettings,
            tasks::Member aSelf,
            base::Timeline& aTimeline,
            tasks::Mailboxes& aMailboxes);

  /// Returns whether the socket was bound to the node's peer address.
  bool Bound() const { return m_socket.Bound(); }
  /// Runs until a StopTask message is received.
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
