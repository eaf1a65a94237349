#pragma once

#include "adapters/http/EventLoop.h"
#include "adapters/http1/Head.h"
#include "base/EnumNames.h"
#include "base/Ids.h"

#include <functional>
#include <memory>
#include <string>
#include <string_view>

struct bufferevent;
struct evbuffer;

namespace papayafield::adapters::http1 {

/// How a connection ended.
enum class EndKind {
  /// The peer closed its sending side in an orderly way.
  Finished,
  /// The peer reset the connection, or the kernel timed it out.
  Reset,
  /// The connection could not be established.
  NotConnected,
  /// The relay could not be reached, or refused to connect to the target.
  RelayFailed,
  /// The established connection was lost at the relay or on the way to it, or it is unknown whether
  /// it was lost there or at the target. Otherwise the kind says how the target's connection ended.
  RelayLost,
  /// The peer sent bytes that are not a valid HTTP message.
  Malformed,
  /// The head of a message exceeds the size limit.
  HeadTooLarge,
};

/// Frees a libevent buffer.
struct BufferDeleter {
  void operator()(evbuffer* aBuffer) const;
};

/// Callbacks of a connection. Events without a callback are ignored.
template<class Head>
struct ConnectionEvents {
  /// Called when the first byte of a message has been received.
  std::function<void()> m_onBegin;
  /// Called while the fields of a message arrive, in steps of a few KiB, with the number of bytes
  /// of memory that they take.
  std::function<void(size_t)> m_onHeadGrowth;
  /// Called when the head of a message has been received.
  std::function<void(Head&&)> m_onHead;
  /// Called when bytes of the body have been received.
  std::function<void(std::string_view)> m_onBody;
  /// Called when the message is complete according to its framing. The next message is not read
  /// until Resume is called.
  std::function<void()> m_onComplete;
  /// Called when the connection has ended; no other callback follows. `aInMessage` is true if a
  /// message had begun and is truncated.
  std::function<void(EndKind aKind, bool aInMessage)> m_onEnd;
  /// Called when bytes have been received while no message is expected (only while paused).
  std::function<void()> m_onUnexpectedData;
  /// Called when all written bytes have been passed to the kernel.
  std::function<void()> m_onFlushed;
  /// Called when a connection that was being established is open.
  std::function<void()> m_onEstablished;
};

/// An HTTP/1.1 connection on a bufferevent, parsed by http-parser. `Head` selects the side:
/// RequestHead reads requests (server), ResponseHead reads responses (client). Connections are
/// owned by shared pointers, since a callback may close the connection that called it. All methods
/// must be called on the thread of the loop.
template<class Head>
class Connection : public std::enable_shared_from_this<Connection<Head>> {
public:
  using Events = ConnectionEvents<Head>;

  /// Creates a connection that owns the accepted socket `aFd`. `aMaxHeadBytes` is the maximum size
  /// of a message head in bytes.
  static std::shared_ptr<Connection> FromAcceptedSocket(http::EventLoop& aLoop,
                                                        int aFd,
                                                        size_t aMaxHeadBytes);
  /// Starts connecting to `aTo`. Bytes written earlier are sent once the connection is established.
  /// `aUnacknowledgedTimeout` is the maximum time that sent bytes may stay unacknowledged.
  static std::shared_ptr<Connection> ConnectTo(http::EventLoop& aLoop,
                                               const base::Address& aTo,
                                               base::Millis aUnacknowledgedTimeout);
  /// Starts connecting to `aTarget`, which is a name that the relay at `aRelay` knows. Nothing but
  /// the name is sent before the relay has connected to the target, and until then the connection
  /// does not count as established. A response that ends with the connection is complete only if
  /// the relay states that the target has ended it.
  static std::shared_ptr<Connection> ConnectThrough(http::EventLoop& aLoop,
                                                    const base::Address& aRelay,
                                                    const std::string& aTarget,
                                                    base::Millis aUnacknowledgedTimeout);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&&) = delete;
  Connection& operator=(Connection&&) = delete;

  /// Replaces the callbacks.
  void SetEvents(Events aEvents);
  /// Queues bytes to send. Does nothing if the connection has ended.
  void Write(std::string_view aBytes);
  /// Queues `aBytes` without copying them; `aOwner` keeps them until they have been sent. Does
  /// nothing if the connection has ended.
  void WriteShared(std::shared_ptr<const void> aOwner, std::string_view aBytes);
  /// Changes the maximum size of a message head, in bytes.
  void SetMaxHeadBytes(size_t aMaxHeadBytes) { m_maxHeadBytes = aMaxHeadBytes; }
  /// Continues with the next message after one has been completed.
  void Resume();
  /// Marks the next response as one without a body, whatever its head says (for HEAD requests).
  void ExpectNoBody() { m_expectNoBody = true; }
  /// Closes the connection immediately. No callback follows.
  void Close();
  /// Closes the connection immediately and discards bytes that the peer has not received yet. No
  /// callback follows.
  void Reset();
  /// Closes the connection once all written bytes have been passed to the kernel, or when it ends
  /// before, and then calls `aOnClosed`. No other callback follows.
  void CloseWhenFlushed(std::function<void()> aOnClosed = {});
  /// Ends the sending side once all written bytes have been sent, and discards what the peer still
  /// sends until it closes the connection, for at most `aMaxTime`. Then closes the connection and
  /// calls `aOnClosed`. No other callback follows. Closing a connection with unread bytes would
  /// reset it, and the peer could miss an answer to a message that it is still sending.
  void CloseWhenPeerDone(base::Millis aMaxTime, std::function<void()> aOnClosed);

  /// Whether the connection is open or being established.
  bool IsOpen() const { return m_buffer != nullptr; }
  /// Whether the TCP connection has been established, by the relay too if there is one.
  bool IsEstablished() const { return m_established; }
  /// Whether the connection can be reused after the last complete message.
  bool ShouldKeepAlive() const { return m_keepAlive; }
  /// Returns the number of bytes written but not yet passed to the kernel.
  size_t PendingOutput() const;
  /// Returns the number of bytes received but not yet parsed.
  size_t PendingInput() const;
  /// Whether a message has begun and is not complete.
  bool IsInMessage() const;
  /// Returns the IP address of the peer, or an empty string if it is unknown.
  std::string PeerHost() const;

private:
  struct Parser;
  struct RelayedInput;

  Connection(http::EventLoop& aLoop, size_t aMaxHeadBytes);
  void AttachBuffer(bufferevent* aBuffer);
  void OnReadable();
  void OnRelayResponse();
  void OnRelayedEnd(bool aIsOrderly);
  void OnEstablished();
  evbuffer* Output() const;
  evbuffer* Input() const;
  void DropInput();
  void ReadFrames();
  void OnBufferEvent(short aWhat);
  void OnPeerFinished();
  void OnWritable();
  void EndSending();
  bool HasUnreadOutput() const;
  void AwaitOutput();
  void CompleteAtEnd();
  bool ParseStep();
  void End(EndKind aKind);
  static void ReadCallback(bufferevent* aBuffer, void* aSelf);
  static void WriteCallback(bufferevent* aBuffer, void* aSelf);
  static void EventCallback(bufferevent* aBuffer, short aWhat, void* aSelf);

  http::EventLoop& m_loop;
  std::unique_ptr<Parser> m_parser;
  bufferevent* m_buffer = nullptr;
  /// Bytes to send once the relay has connected to the target; null in all other cases.
  std::unique_ptr<evbuffer, BufferDeleter> m_heldOutput;
  /// Set if the connection leads through a relay.
  std::unique_ptr<RelayedInput> m_relayed;
  Events m_events;
  size_t m_maxHeadBytes;
  bool m_established = false;
  bool m_keepAlive = false;
  bool m_isPaused = false;
  bool m_isParsing = false;
  bool m_expectNoBody = false;
  bool m_closeWhenFlushed = false;
  /// Whether the connection only waits until its peer closes it.
  bool m_discardInput = false;
  /// Limits that wait.
  http::EventHandlePtr m_discardTimer;
  /// Set after the peer has ended its side while bytes that were written are still on their way.
  http::EventHandlePtr m_outputTimer;
};

/// The server side of a connection, which reads requests.
using ServerConnection = Connection<RequestHead>;
/// The client side of a connection, which reads responses.
using ClientConnection = Connection<ResponseHead>;

/// Serializes a request with its complete body. Adds Content-Length, except to a GET or HEAD
/// request without a body. Thread safe.
std::string Serialize(const RequestHead& aHead, std::string_view aBody);
/// Serializes the head of a request whose body of `aBodyBytes` is written separately. Adds
/// Content-Length as for a complete request. Thread safe.
std::string SerializeHead(const RequestHead& aHead, size_t aBodyBytes);
/// Serializes the head of a response. The caller must add the framing fields. Thread safe.
std::string Serialize(const ResponseHead& aHead);
/// Encodes `aBytes` as one chunk of a chunked body. Thread safe.
std::string EncodeChunk(std::string_view aBytes);

} // namespace papayafield::adapters::http1

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<adapters::http1::EndKind> =
  std::to_array<EnumName<adapters::http1::EndKind>>({
    { adapters::http1::EndKind::Finished, "finished" },
    { adapters::http1::EndKind::Reset, "reset" },
    { adapters::http1::EndKind::NotConnected, "not_connected" },
    { adapters::http1::EndKind::RelayFailed, "relay_failed" },
    { adapters::http1::EndKind::RelayLost, "relay_lost" },
    { adapters::http1::EndKind::Malformed, "malformed" },
    { adapters::http1::EndKind::HeadTooLarge, "head_too_large" },
  });

} // namespace papayafield::base
