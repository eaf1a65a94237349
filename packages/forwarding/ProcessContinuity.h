#pragma once

#include "adapters/http1/Connection.h"
#include "base/Log.h"
#include "fleet/EndpointDirectory.h"
#include "forwarding/VersionFinder.h"

#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace papayafield::forwarding {

/// Notices from the connections to an endpoint that another process may have taken its place under
/// the same identifier. The registration that this node has read may then be that of the process
/// before, until the view of the registrations is confirmed. Belongs to the event loop's thread.
class ProcessContinuity {
public:
  using Connection = std::shared_ptr<adapters::http1::ClientConnection>;
  /// Called with whether the process is the registered one.
  using OnConfirmed = std::function<void(bool aIsSame)>;

  /// Time within which a process that accepts connections has registered.
  static constexpr base::Millis kMaxRegistrationDelay{ 300 };

  /// `aLoop` and `aDirectory` must outlive the object. `aConfirmView` confirms the view of the
  /// registrations.
  ProcessContinuity(adapters::http::EventLoop& aLoop,
                    const fleet::EndpointDirectory& aDirectory,
                    VersionFinder::ConfirmView aConfirmView)
    : m_loop(aLoop)
    , m_directory(aDirectory)
    , m_confirmView(std::move(aConfirmView)) {}

  /// Records that a connection is established; may be called again for the same one. `aRelay` is
  /// the host of the node that it leads through, here and below; empty if it is direct.
  void OnEstablished(const fleet::Incarnation& aEndpoint,
                     const Connection& aConnection,
                     const std::string& aRelay = {});
  /// Records that the endpoint has ended or refused a connection: one that it refused, or that
  /// leaves none open directly or through the same relay, is a sign that its process has ended. The
  /// end of a relay must not be recorded.
  void OnEnded(const fleet::Incarnation& aEndpoint,
               const Connection& aConnection,
               adapters::http1::EndKind aKind,
               const std::string& aRelay = {});
  /// Returns when a process that may have taken the place of the registered one was first reached,
  /// for calls on `aConnection`; the epoch if there is no sign of that. The present for a
  /// connection that is not established if no process has been reached since the sign, and for a
  /// relayed one if no other one through the same relay is open: relayed connections are not kept,
  /// so that none would have shown a restart.
  base::TimePoint ProcessSince(const fleet::Incarnation& aEndpoint,
                               const Connection& aConnection,
                               const std::string& aRelay = {}) const;
  /// Returns whether the process of the endpoint has ended, as far as its connections show, and
  /// none has been reached since.
  bool HasEnded(const fleet::Incarnation& aEndpoint) const;
  /// Returns whether a process that was first reached at `aSince` is the one that is registered as
  /// `aEndpoint`: there was no sign of another one, or the view has been confirmed since it must
  /// have registered.
  bool IsConfirmed(const fleet::Endpoint& aEndpoint, base::TimePoint aSince) const;
  /// Confirms the view, and calls `aOnConfirmed` once, never before this call returns: with whether
  /// the process is that one, or with false after `aMaxWait`.
  void Confirm(const fleet::Endpoint& aEndpoint,
               base::TimePoint aSince,
               base::Millis aMaxWait,
               OnConfirmed aOnConfirmed);
  /// Forgets the incarnations that are not registered.
  void RetainRegistered();

private:
  /// Interval at which waiting calls are looked at.
  static constexpr base::Millis kCheckInterval{ 20 };
  /// Minimum time between two confirmations; bounds the load of the store.
  static constexpr base::Millis kConfirmInterval{ 250 };
  static constexpr base::Millis kMaxConfirmTime{ 1000 };

  struct OpenConnection {
    std::weak_ptr<adapters::http1::ClientConnection> m_connection;
    std::string m_relay;
    /// When its process was first reached; the epoch if it is the registered one.
    base::TimePoint m_processSince;
  };
  struct Process {
    std::vector<OpenConnection> m_open;
    bool m_hasEnded = false;
    /// When the present process was first reached; the epoch if no other one has ended before it.
    base::TimePoint m_since{};
    /// When the view was last confirmed while the endpoint was registered, and its version then.
    base::TimePoint m_confirmedAt{};
    std::string m_confirmedVersion;
  };
  struct Waiter {
    fleet::Endpoint m_endpoint;
    base::TimePoint m_since;
    base::TimePoint m_deadline;
    OnConfirmed m_onConfirmed;
  };

  static bool HasOpen(const Process& aProcess, const std::string& aRelay);
  void Check();
  void ConfirmViewIfDue(base::TimePoint aNow);
  void OnViewConfirmed(base::TimePoint aAt);

  adapters::http::EventLoop& m_loop;
  const fleet::EndpointDirectory& m_directory;
  const VersionFinder::ConfirmView m_confirmView;
  const base::Log m_log{ "forwarding" };
  std::map<fleet::Incarnation, Process> m_processes;
  std::list<Waiter> m_waiters;
  /// The view contains all that the store had acknowledged then.
  base::TimePoint m_confirmedAt{};
  base::TimePoint m_nextConfirmation{};
  bool m_isConfirming = false;
  adapters::http::EventHandlePtr m_checkTimer;
};

} // namespace papayafield::forwarding
