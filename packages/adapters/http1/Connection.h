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

namespace papayafield::adapters::http1 {

/// How a connection ended.
enum class EndKind {
  /// The peer closed its sending side in an orderly way.
  Finished,
  /// The peer reset the connection, or the kernel gave up on it.
  Reset,
  /// The connection was never established.
  NotConnected,
  /// The peer sent bytes that are no message.
  Malformed,
  /// The head of a message exceeds its bound.
  HeadTooLarge,
};

/// What a connection tells its owner. An unset callback ignores its event.
template<class Head>
struct ConnectionEvents {
  /// The head of a message has come.
  std::function<void(Head&&)> m_onHead;
  /// Bytes of the body have come.
  std::function<void(std::string_view)> m_onBody;
  /// The message is complete by its own framing; the next one is held until Resume.
  std::function<void()> m_onComplete;
  /// The connection has ended; nothing follows. `aInMessage`: a message had begun and was cut.
  std::function<void(EndKind aKind, bool aInMessage)> m_onEnd;
  /// Bytes have come while no message is expected (only while paused).
  std::function<void()> m_onUnexpected;
  /// All that was written has been handed to the kernel.
  std::function<void()> m_onFlushed;
};

/// One HTTP/1.1 connection over a bufferevent, parsed by http-parser. `Head` tells the side:
/// RequestHead reads requests (at a server), ResponseHead reads responses (at a client). Owned
/// through shared pointers, since a callback may close the connection it came from. All methods
/// belong to the thread of the loop.
template<class Head>
class Connection : public std::enable_shared_from_this<Connection<Head>> {
public:
  using Events = ConnectionEvents<Head>;

  /// Takes over the accepted socket `aFd`.
  static std::shared_ptr<Connection> Accepted(http::EventLoop& aLoop, int aFd, size_t aMaxHead);
  /// Connects to `aTo`; what is written before the connection stands is sent then. `aStuckAfter`
  /// bounds how long sent bytes may stay unacknowledged.
  static std::shared_ptr<Connection> Connected(http::EventLoop& aLoop,
                                               const base::Address& aTo,
                                               base::Millis aStuckAfter);
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  Connection(Connection&&) = delete;
  Connection& operator=(Connection&&) = delete;

  /// Sets who hears of the connection from now on.
  void SetEvents(Events aEvents);
  /// Queues bytes to send. Ignored after the end.
  void Write(std::string_view aBytes);
  /// Reads the next message, after one has been completed.
  void Resume();
  /// Says that the response now awaited carries no body whatever its head says (for HEAD).
  void ExpectNoBody() { m_expectNoBody = true; }
  /// Closes at once; no event follows.
  void Close();
  /// Closes once all that was written has been handed to the kernel; no event follows.
  void CloseWhenFlushed();

  /// Whether the connection is open (or still being established).
  bool Open() const { return m_buffer != nullptr; }
  /// Whether the TCP connection has been established.
  bool Established() const { return m_established; }
  /// Whether the last complete message lets the connection carry another.
  bool KeepAlive() const { return m_keepAlive; }
  /// Bytes written and not yet handed to the kernel.
  size_t PendingOutput() const;
  /// Bytes received and not yet parsed.
  size_t PendingInput() const;
  /// The address of the other end, as text; empty when unknown.
  std::string PeerHost() const;

private:
  struct Parser;

  Connection(http::EventLoop& aLoop, size_t aMaxHead);
  void Adopt(bufferevent* aBuffer);
  void OnReadable();
  void OnEvent(short aWhat);
  void OnWritable();
  bool ParseOnce();
  void End(EndKind aKind);
  static void Read(bufferevent* aBuffer, void* aSelf);
  static void Written(bufferevent* aBuffer, void* aSelf);
  static void Event(bufferevent* aBuffer, short aWhat, void* aSelf);

  http::EventLoop& m_loop;
  std::unique_ptr<Parser> m_parser;
  bufferevent* m_buffer = nullptr;
  Events m_events;
  size_t m_maxHead;
  bool m_established = false;
  bool m_keepAlive = false;
  bool m_paused = false;
  bool m_parsing = false;
  bool m_expectNoBody = false;
  bool m_closeWhenFlushed = false;
};

/// The side that reads requests.
using ServerConnection = Connection<RequestHead>;
/// The side that reads responses.
using ClientConnection = Connection<ResponseHead>;

/// A request as bytes: head and whole body. Thread safe.
std::string Serialize(const RequestHead& aHead, std::string_view aBody);
/// The head of a response as bytes; framing fields are the caller's. Thread safe.
std::string Serialize(const ResponseHead& aHead);
/// One chunk of a chunked body. Thread safe.
std::string Chunk(std::string_view aBytes);

} // namespace papayafield::adapters::http1

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<adapters::http1::EndKind> =
  std::to_array<EnumName<adapters::http1::EndKind>>({
    { adapters::http1::EndKind::Finished, "finished" },
    { adapters::http1::EndKind::Reset, "reset" },
    { adapters::http1::EndKind::NotConnected, "not_connected" },
    { adapters::http1::EndKind::Malformed, "malformed" },
    { adapters::http1::EndKind::HeadTooLarge, "head_too_large" },
  });

} // namespace papayafield::base
