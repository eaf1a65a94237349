#include "adapters/http1/Connection.h"

#include "adapters/http1/SocketOptions.h"
#include "adapters/http1/StatusLineCheck.h"
#include "adapters/http1/TunnelFrames.h"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <http_parser.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

namespace papayafield::adapters::http1 {

void BufferDeleter::operator()(evbuffer* aBuffer) const {
  evbuffer_free(aBuffer);
}

namespace {

/// Maximum number of bytes parsed in one step, which limits how long one connection occupies the
/// loop.
constexpr size_t kMaxParseStepBytes = 65536;
/// Maximum number of buffered unparsed bytes while a message is being handled; TCP flow control
/// then stops the peer. They are not part of the budget, so the bound has to fit for each of some
/// thousand connections. Larger than the 16,384 bytes that are read at a time, so that reading a
/// body does not suspend the connection.
constexpr size_t kMaxPendingInputBytes = 20480;
/// Maximum number of empty lines before a request. A few are left by callers that end a body with
/// one.
constexpr size_t kMaxEmptyLines = 8;
/// Growth of a head that is reported, in bytes of memory.
constexpr size_t kHeadGrowthStepBytes = 4096;
/// Memory of a string beyond its object, up to which it is held within the object.
constexpr size_t kInlineStringBytes = 15;
/// Shortest framing of a field beside its name and value: a colon and a line feed.
constexpr size_t kMinFieldFramingBytes = 2;
/// Maximum size of the response of a relay, in bytes.
constexpr size_t kMaxRelayHeadBytes = 1024;

constexpr base::Millis kCallerUnacknowledgedTimeout{ 6000 };
/// Interval at which bytes on their way to a peer that has ended its side are checked.
constexpr base::Millis kOutputCheckInterval{ 5 };

template<class Head>
constexpr bool kReadsRequests = std::is_same_v<Head, RequestHead>;

bool IsControlCharacter(char aCharacter) {
  constexpr char kDelete = 0x7f;
  return static_cast<unsigned char>(aCharacter) < ' ' || aCharacter == kDelete;
}

/// Returns the memory that `aText` takes on the heap.
size_t HeapBytes(const std::string& aText) {
  return aText.capacity() > kInlineStringBytes ? aText.capacity() + 1 : 0;
}

/// Whether `aText` contains characters that a request target must not contain.
bool HasInvalidTargetCharacter(std::string_view aText) {
  return std::any_of(aText.begin(), aText.end(), [](char aCharacter) {
    return aCharacter == ' ' || IsControlCharacter(aCharacter);
  });
}

/// Whether `aText` contains characters that a reason phrase must not contain.
bool HasInvalidReasonCharacter(std::string_view aText) {
  return std::any_of(aText.begin(), aText.end(), [](char aCharacter) {
    return aCharacter != '\t' && IsControlCharacter(aCharacter);
  });
}

/// Whether `aStatus` is the code of an interim response, after which another response follows.
bool IsInterim(unsigned aStatus) {
  return aStatus / 100 == 1;
}

/// Whether a response with the code `aStatus` ends with its head, whatever its fields say (RFC
/// 9112, section 6.3).
bool NeverHasBody(unsigned aStatus) {
  constexpr unsigned kNoContent = 204;
  constexpr unsigned kNotModified = 304;
  return IsInterim(aStatus) || aStatus == kNoContent || aStatus == kNotModified;
}

} // namespace

/// The parser state, defined here so that the header does not include http_parser.h.
template<class Head>
struct Connection<Head>::Parser {
  explicit Parser(Connection& aOwner)
    : m_owner(aOwner) {
    http_parser_init(&m_parser, kReadsRequests<Head> ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
  }

  static Parser& Of(http_parser* aParser) { return *static_cast<Parser*>(aParser->data); }

  static int OnBegin(http_parser* aParser) {
    Parser& self = Of(aParser);
    self.m_head = {};
    // The last trailer field of the previous message may be left.
    self.m_name.clear();
    self.m_value.clear();
    if (!std::exchange(self.m_afterInterim, false)) {
      self.m_headBytes = 0;
    }
    self.m_lastWasValue = true;
    self.m_hasInvalidName = false;
    self.m_inMessage = true;
    self.m_headComplete = false;
    self.m_emptyLineBytes = 0;
    self.m_heldBytes = 0;
    self.m_reportedBytes = 0;
    if (self.m_owner.m_events.m_onBegin) {
      self.m_owner.m_events.m_onBegin();
    }
    return 0;
  }

  bool AddHeadBytes(size_t aBytes) {
    m_headBytes += aBytes;
    m_tooLarge = m_headBytes > m_owner.m_maxHeadBytes;
    return !m_tooLarge;
  }

  /// Reports how much memory the head takes, if that has grown noticeably.
  void ReportGrowth() {
    const size_t bytes = m_heldBytes + HeapBytes(m_name) + HeapBytes(m_value);
    if (bytes < m_reportedBytes + kHeadGrowthStepBytes) {
      return;
    }
    m_reportedBytes = bytes;
    if (m_owner.IsOpen() && m_owner.m_events.m_onHeadGrowth) {
      m_owner.m_events.m_onHeadGrowth(bytes);
    }
  }

  /// Counts bytes before a message, which the parser skips if they are line ends. Returns false if
  /// there are too many of them.
  bool CountEmptyLines(std::string_view aBytes) {
    if (!kReadsRequests<Head> || m_inMessage) {
      return true;
    }
    m_emptyLineBytes += std::min(aBytes.find_first_not_of("\r\n"), aBytes.size());
    return m_emptyLineBytes <= kMaxEmptyLines * 2;
  }

  /// Whether the message is complete only when the connection ends.
  bool EndsWithConnection() const {
    constexpr uint64_t kNoLength = UINT64_MAX;
    return !kReadsRequests<Head> && m_inMessage && m_headComplete &&
           (m_parser.flags & F_CHUNKED) == 0 && m_parser.content_length == kNoLength;
  }

  /// Frees the head of a message that is not wanted any more.
  void DropHead() {
    m_head = {};
    m_name = {};
    m_value = {};
  }

  static int OnTarget(http_parser* aParser, const char* aAt, size_t aLength) {
    Parser& self = Of(aParser);
    if constexpr (kReadsRequests<Head>) {
      if (HasInvalidTargetCharacter({ aAt, aLength })) {
        return 1;
      }
      self.m_head.m_target.append(aAt, aLength);
    }
    return self.AddHeadBytes(aLength) ? 0 : 1;
  }

  static int OnReason(http_parser* aParser, const char* aAt, size_t aLength) {
    Parser& self = Of(aParser);
    if constexpr (!kReadsRequests<Head>) {
      if (HasInvalidReasonCharacter({ aAt, aLength })) {
        return 1;
      }
      self.m_head.m_reason.append(aAt, aLength);
    }
    return self.AddHeadBytes(aLength) ? 0 : 1;
  }

  void FlushField() {
    if (!m_name.empty()) {
      // http-parser accepts whitespace in field names, which other implementations interpret
      // differently.
      m_hasInvalidName = m_hasInvalidName || m_name.find_first_of(" \t") != std::string::npos;
      // The list of fields may have twice the capacity that it needs.
      m_heldBytes += 2 * sizeof(Field) + HeapBytes(m_name) + HeapBytes(m_value);
      m_head.m_fields.Add(std::move(m_name), std::move(m_value));
    }
    m_name.clear();
    m_value.clear();
  }

  static int OnName(http_parser* aParser, const char* aAt, size_t aLength) {
    Parser& self = Of(aParser);
    if (self.m_lastWasValue) {
      self.FlushField();
      self.m_lastWasValue = false;
      self.m_headBytes += kMinFieldFramingBytes;
    }
    self.m_name.append(aAt, aLength);
    self.ReportGrowth();
    return self.AddHeadBytes(aLength) ? 0 : 1;
  }

  static int OnValue(http_parser* aParser, const char* aAt, size_t aLength) {
    Parser& self = Of(aParser);
    self.m_lastWasValue = true;
    self.m_value.append(aAt, aLength);
    self.ReportGrowth();
    return self.AddHeadBytes(aLength) ? 0 : 1;
  }

  /// Whether the framing of the message is unambiguous. A message that two implementations could
  /// frame differently is rejected, since it allows request smuggling.
  bool FramingIsPlain() const {
    const Fields& fields = m_head.m_fields;
    if (m_hasInvalidName) {
      return false;
    }
    const auto coding = fields.Find("Transfer-Encoding");
    if (coding && (!EqualsIgnoreCase(*coding, "chunked") ||
                   fields.Count("Transfer-Encoding") != 1 || fields.Count("Content-Length") != 0)) {
      return false;
    }
    return fields.Count("Content-Length") <= 1;
  }

  static int OnHeadComplete(http_parser* aParser) {
    Parser& self = Of(aParser);
    self.FlushField();
    self.m_headComplete = true;
    if (!self.FramingIsPlain() || aParser->http_major != 1) {
      return -1;
    }
    if constexpr (kReadsRequests<Head>) {
      if (aParser->method == HTTP_CONNECT) {
        return -1;
      }
      // Protocol upgrades are ignored.
      aParser->upgrade = 0;
      self.m_head.m_method = http_method_str(static_cast<http_method>(aParser->method));
    } else {
      self.m_head.m_status = static_cast<int>(aParser->status_code);
      if (IsInterim(aParser->status_code)) {
        return self.AddHeadBytes(kMinHeadBytes) ? kSkipBody : -1;
      }
    }
    if (self.m_owner.m_events.m_onHead) {
      self.m_owner.m_events.m_onHead(std::move(self.m_head));
    }
    const bool endsWithHead = !kReadsRequests<Head> && NeverHasBody(aParser->status_code);
    return endsWithHead || self.m_owner.m_expectNoBody ? kSkipBody : 0;
  }

  static int OnBody(http_parser* aParser, const char* aAt, size_t aLength) {
    Parser& self = Of(aParser);
    if (self.m_owner.IsOpen() && self.m_owner.m_events.m_onBody) {
      self.m_owner.m_events.m_onBody({ aAt, aLength });
    }
    return 0;
  }

  static int OnComplete(http_parser* aParser) {
    Parser& self = Of(aParser);
    self.m_statusLine.Restart();
    if (!kReadsRequests<Head> && IsInterim(aParser->status_code)) {
      self.m_afterInterim = true;
      // The next response is parsed in a step of its own.
      http_parser_pause(aParser, 1);
      return 0;
    }
    self.m_inMessage = false;
    Connection& owner = self.m_owner;
    owner.m_keepAlive = http_should_keep_alive(aParser) != 0;
    owner.m_isPaused = true;
    owner.m_expectNoBody = false;
    http_parser_pause(aParser, 1);
    if (owner.IsOpen() && owner.m_events.m_onComplete) {
      owner.m_events.m_onComplete();
    }
    return 0;
  }

  static const http_parser_settings& Settings() {
    static const http_parser_settings settings = [] {
      http_parser_settings result{};
      http_parser_settings_init(&result);
      result.on_message_begin = &OnBegin;
      result.on_url = &OnTarget;
      result.on_status = &OnReason;
      result.on_header_field = &OnName;
      result.on_header_value = &OnValue;
      result.on_headers_complete = &OnHeadComplete;
      result.on_body = &OnBody;
      result.on_message_complete = &OnComplete;
      return result;
    }();
    return settings;
  }

  /// Size of the shortest head of a response, in bytes.
  static constexpr size_t kMinHeadBytes = std::string_view("HTTP/1.1 100\r\n\r\n").size();
  /// Result of on_headers_complete for a message without a body.
  static constexpr int kSkipBody = 1;

  Connection& m_owner;
  http_parser m_parser{};
  StatusLineCheck m_statusLine;
  Head m_head;
  std::string m_name;
  std::string m_value;
  size_t m_headBytes = 0;
  /// Memory of the complete fields, and that of the head as reported last.
  size_t m_heldBytes = 0;
  size_t m_reportedBytes = 0;
  /// Number of bytes of empty lines before the next message.
  size_t m_emptyLineBytes = 0;
  bool m_lastWasValue = true;
  bool m_inMessage = false;
  bool m_headComplete = false;
  /// Whether the previous response was an interim one, which counts as a part of this head.
  bool m_afterInterim = false;
  bool m_tooLarge = false;
  bool m_hasInvalidName = false;
};

/// What arrives from a target through a relay.
template<class Head>
struct Connection<Head>::RelayedInput {
  /// Whether the relay sends frames.
  bool m_isFramed = false;
  TunnelFrameReader m_reader;
  /// Bytes of the target.
  std::unique_ptr<evbuffer, BufferDeleter> m_bytes{ evbuffer_new() };
};

template<class Head>
Connection<Head>::Connection(http::EventLoop& aLoop, size_t aMaxHeadBytes)
  : m_loop(aLoop)
  , m_parser(std::make_unique<Parser>(*this))
  , m_maxHeadBytes(aMaxHeadBytes) {}

template<class Head>
Connection<Head>::~Connection() {
  Close();
}

template<class Head>
void Connection<Head>::AttachBuffer(bufferevent* aBuffer) {
  m_buffer = aBuffer;
  bufferevent_setcb(aBuffer, &ReadCallback, &WriteCallback, &EventCallback, this);
  bufferevent_setwatermark(aBuffer, EV_READ, 0, kMaxPendingInputBytes);
  bufferevent_enable(aBuffer, EV_READ | EV_WRITE);
}

template<class Head>
std::shared_ptr<Connection<Head>> Connection<Head>::FromAcceptedSocket(http::EventLoop& aLoop,
                                                                       int aFd,
                                                                       size_t aMaxHeadBytes) {
  std::shared_ptr<Connection> connection(new Connection(aLoop, aMaxHeadBytes));
  evutil_make_socket_nonblocking(aFd);
  SetSocketOptions(aFd, kCallerUnacknowledgedTimeout);
  connection->m_established = true;
  connection->AttachBuffer(bufferevent_socket_new(aLoop.Base(), aFd, BEV_OPT_CLOSE_ON_FREE));
  return connection;
}

template<class Head>
std::shared_ptr<Connection<Head>> Connection<Head>::ConnectTo(http::EventLoop& aLoop,
                                                              const base::Address& aTo,
                                                              base::Millis aUnacknowledgedTimeout) {
  constexpr size_t kMaxResponseHeadBytes = 65536;
  std::shared_ptr<Connection> connection(new Connection(aLoop, kMaxResponseHeadBytes));
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0) {
    SetSocketOptions(fd, aUnacknowledgedTimeout);
  }
  connection->AttachBuffer(bufferevent_socket_new(aLoop.Base(), fd, BEV_OPT_CLOSE_ON_FREE));
  sockaddr_in to{};
  to.sin_family = AF_INET;
  to.sin_port = htons(aTo.m_port);
  const bool valid = inet_pton(AF_INET, aTo.m_host.c_str(), &to.sin_addr) == 1;
  const bool started = fd >= 0 && valid &&
                       bufferevent_socket_connect(connection->m_buffer,
                                                  reinterpret_cast<sockaddr*>(&to),
                                                  static_cast<int>(sizeof(to))) == 0;
  if (!started) {
    aLoop.Defer([connection] {
      connection->End(connection->m_heldOutput == nullptr ? EndKind::NotConnected
                                                          : EndKind::RelayFailed);
    });
  }
  return connection;
}

template<class Head>
std::shared_ptr<Connection<Head>> Connection<Head>::ConnectThrough(
  http::EventLoop& aLoop,
  const base::Address& aRelay,
  const std::string& aTarget,
  base::Millis aUnacknowledgedTimeout) {
  auto connection = ConnectTo(aLoop, aRelay, aUnacknowledgedTimeout);
  connection->Write("CONNECT " + aTarget + " HTTP/1.1\r\n" + std::string(kTunnelCodingField) +
                    "\r\n");
  connection->m_heldOutput.reset(evbuffer_new());
  connection->m_relayed = std::make_unique<RelayedInput>();
  return connection;
}

template<class Head>
void Connection<Head>::OnRelayResponse() {
  evbuffer* const input = bufferevent_get_input(m_buffer);
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  const evbuffer_ptr end = evbuffer_search(input, kHeadEnd.data(), kHeadEnd.size(), nullptr);
  if (end.pos < 0) {
    if (evbuffer_get_length(input) > kMaxRelayHeadBytes) {
      End(EndKind::RelayFailed);
    }
    return;
  }
  std::string head(static_cast<size_t>(end.pos) + kHeadEnd.size(), '\0');
  evbuffer_remove(input, head.data(), head.size());
  constexpr std::string_view kStatusPrefix = "HTTP/1.1 ";
  const std::string_view status = head.starts_with(kStatusPrefix)
                                    ? std::string_view(head).substr(kStatusPrefix.size(), 3)
                                    : std::string_view();
  if (status != "200") {
    End(status == "502" ? EndKind::NotConnected : EndKind::RelayFailed);
    return;
  }
  m_relayed->m_isFramed = head.find(kTunnelCodingField) != std::string::npos;
  const auto held = std::move(m_heldOutput);
  bufferevent_write_buffer(m_buffer, held.get());
  OnEstablished();
}

/// Ends an established connection that leads through a relay.
template<class Head>
void Connection<Head>::OnRelayedEnd(bool aIsOrderly) {
  const auto targetEnd = m_relayed->m_reader.End();
  if (!targetEnd || *targetEnd == TargetEnd::Unreachable) {
    End(EndKind::RelayLost);
  } else if (*targetEnd == TargetEnd::Reset || !aIsOrderly) {
    End(EndKind::Reset);
  } else {
    OnPeerFinished();
  }
}

template<class Head>
void Connection<Head>::OnEstablished() {
  m_established = true;
  if (m_events.m_onEstablished) {
    const auto onEstablished = m_events.m_onEstablished;
    onEstablished();
  }
}

template<class Head>
evbuffer* Connection<Head>::Output() const {
  return m_heldOutput != nullptr ? m_heldOutput.get() : bufferevent_get_output(m_buffer);
}

/// Returns the buffer with the bytes to parse.
template<class Head>
evbuffer* Connection<Head>::Input() const {
  return m_relayed != nullptr && m_relayed->m_isFramed ? m_relayed->m_bytes.get()
                                                       : bufferevent_get_input(m_buffer);
}

template<class Head>
void Connection<Head>::DropInput() {
  for (evbuffer* const input : { bufferevent_get_input(m_buffer), Input() }) {
    evbuffer_drain(input, evbuffer_get_length(input));
  }
}

/// Moves bytes of the target from the frames of a relay to the bytes to parse.
template<class Head>
void Connection<Head>::ReadFrames() {
  if (m_relayed != nullptr && m_relayed->m_isFramed && PendingInput() < kMaxPendingInputBytes) {
    m_relayed->m_reader.Read(bufferevent_get_input(m_buffer), m_relayed->m_bytes.get());
  }
}

template<class Head>
void Connection<Head>::SetEvents(Events aEvents) {
  // An old callback may be running and may own its object, so the old ones are destroyed later, by
  // the event loop.
  if (m_events.m_onHead || m_events.m_onEnd || m_events.m_onFlushed) {
    m_loop.Defer([old = std::make_shared<Events>(std::move(m_events))] {});
  }
  m_events = std::move(aEvents);
}

template<class Head>
void Connection<Head>::Write(std::string_view aBytes) {
  if (m_buffer != nullptr && !aBytes.empty()) {
    evbuffer_add(Output(), aBytes.data(), aBytes.size());
  }
}

template<class Head>
void Connection<Head>::WriteShared(std::shared_ptr<const void> aOwner, std::string_view aBytes) {
  if (m_buffer == nullptr || aBytes.empty()) {
    return;
  }
  auto owner = std::make_unique<std::shared_ptr<const void>>(std::move(aOwner));
  const auto release = [](const void* /*aData*/, size_t /*aLength*/, void* aSharedOwner) {
    const std::unique_ptr<std::shared_ptr<const void>> last(
      static_cast<std::shared_ptr<const void>*>(aSharedOwner));
  };
  if (evbuffer_add_reference(Output(), aBytes.data(), aBytes.size(), release, owner.get()) == 0) {
    // The buffer owns it from here on.
    static_cast<void>(owner.release());
  }
}

template<class Head>
void Connection<Head>::Resume() {
  if (m_buffer == nullptr || !m_isPaused) {
    return;
  }
  m_isPaused = false;
  http_parser_pause(&m_parser->m_parser, 0);
  if (!m_isParsing && PendingInput() > 0) {
    m_loop.Defer([self = this->shared_from_this()] { self->OnReadable(); });
  }
}

template<class Head>
void Connection<Head>::Close() {
  m_outputTimer.reset();
  if (m_buffer != nullptr) {
    bufferevent_free(m_buffer);
    m_buffer = nullptr;
    SetEvents({});
  }
}

template<class Head>
void Connection<Head>::Reset() {
  if (m_buffer != nullptr) {
    ResetOnClose(bufferevent_getfd(m_buffer));
    Close();
  }
}

template<class Head>
void Connection<Head>::CloseWhenFlushed(std::function<void()> aOnClosed) {
  m_closeWhenFlushed = true;
  // What still arrives must not be held by the parser.
  m_discardInput = true;
  if (!m_isParsing) {
    m_parser->DropHead();
  }
  if (m_buffer == nullptr || PendingOutput() == 0) {
    Close();
    if (aOnClosed) {
      aOnClosed();
    }
    return;
  }
  // The connection keeps itself alive until then.
  Events events;
  events.m_onFlushed = [self = this->shared_from_this(), aOnClosed] {
    if (aOnClosed) {
      aOnClosed();
    }
  };
  events.m_onEnd = [onClosed = std::move(aOnClosed)](EndKind, bool) {
    if (onClosed) {
      onClosed();
    }
  };
  SetEvents(std::move(events));
}

template<class Head>
void Connection<Head>::CloseWhenPeerDone(base::Millis aMaxTime, std::function<void()> aOnClosed) {
  const auto self = this->shared_from_this();
  if (m_buffer == nullptr) {
    aOnClosed();
    return;
  }
  m_discardInput = true;
  if (!m_isParsing) {
    m_parser->DropHead();
  }
  bufferevent_enable(m_buffer, EV_READ);
  DropInput();
  Events events;
  // The connection keeps itself alive until its end.
  events.m_onEnd = [self, onClosed = std::move(aOnClosed)](EndKind, bool) { onClosed(); };
  SetEvents(std::move(events));
  m_discardTimer = m_loop.After(aMaxTime, [weak = this->weak_from_this()] {
    if (const auto connection = weak.lock()) {
      connection->End(EndKind::Reset);
    }
  });
  if (PendingOutput() == 0) {
    EndSending();
  }
}

template<class Head>
void Connection<Head>::EndSending() {
  shutdown(bufferevent_getfd(m_buffer), SHUT_WR);
}

template<class Head>
size_t Connection<Head>::PendingOutput() const {
  return m_buffer == nullptr ? 0 : evbuffer_get_length(Output());
}

template<class Head>
size_t Connection<Head>::PendingInput() const {
  return m_buffer == nullptr ? 0 : evbuffer_get_length(Input());
}

template<class Head>
bool Connection<Head>::IsInMessage() const {
  return m_parser->m_inMessage;
}

template<class Head>
std::string Connection<Head>::PeerHost() const {
  sockaddr_in peer{};
  socklen_t length = sizeof(peer);
  char text[INET_ADDRSTRLEN] = {};
  if (m_buffer == nullptr ||
      getpeername(bufferevent_getfd(m_buffer), reinterpret_cast<sockaddr*>(&peer), &length) != 0) {
    return {};
  }
  return inet_ntop(AF_INET, &peer.sin_addr, text, sizeof(text)) != nullptr ? text : "";
}

template<class Head>
bool Connection<Head>::ParseStep() {
  evbuffer* input = Input();
  const size_t length = std::min(evbuffer_get_contiguous_space(input), kMaxParseStepBytes);
  const auto* bytes =
    reinterpret_cast<const char*>(evbuffer_pullup(input, static_cast<ssize_t>(length)));
  // The step is copied and drained first: a callback may free the buffer, and PendingInput must
  // count only the bytes after the message.
  const std::string step(bytes, length);
  evbuffer_drain(input, length);
  if (!kReadsRequests<Head> && !m_parser->m_statusLine.Feed(step)) {
    End(EndKind::Malformed);
    return false;
  }
  if (!m_parser->CountEmptyLines(step)) {
    End(EndKind::Malformed);
    return false;
  }
  const size_t parsed =
    http_parser_execute(&m_parser->m_parser, &Parser::Settings(), step.data(), step.size());
  if (m_buffer == nullptr || m_discardInput) {
    return false;
  }
  if (parsed < length) {
    evbuffer_prepend(input, step.data() + parsed, length - parsed);
  }
  const auto error = static_cast<http_errno>(m_parser->m_parser.http_errno);
  if (m_parser->m_parser.upgrade != 0 || (error != HPE_OK && error != HPE_PAUSED)) {
    End(m_parser->m_tooLarge ? EndKind::HeadTooLarge : EndKind::Malformed);
    return false;
  }
  if (error == HPE_PAUSED && !m_isPaused) {
    http_parser_pause(&m_parser->m_parser, 0);
  }
  return !m_isPaused;
}

template<class Head>
void Connection<Head>::OnReadable() {
  const auto self = this->shared_from_this();
  if (m_isParsing || m_buffer == nullptr) {
    return;
  }
  if (m_discardInput) {
    DropInput();
    return;
  }
  if (m_heldOutput != nullptr) {
    OnRelayResponse();
    if (m_buffer == nullptr || m_heldOutput != nullptr) {
      return;
    }
  }
  ReadFrames();
  if (m_isPaused) {
    if (m_events.m_onUnexpectedData && PendingInput() > 0) {
      m_events.m_onUnexpectedData();
    }
    return;
  }
  m_isParsing = true;
  while (m_buffer != nullptr && !m_isPaused && !m_discardInput && PendingInput() > 0 &&
         ParseStep()) {
    ReadFrames();
  }
  m_isParsing = false;
  if (m_buffer == nullptr || m_discardInput) {
    m_parser->DropHead();
  }
  if (m_buffer != nullptr && m_isPaused && PendingInput() > 0 && m_events.m_onUnexpectedData) {
    m_events.m_onUnexpectedData();
  }
}

template<class Head>
void Connection<Head>::OnWritable() {
  const auto self = this->shared_from_this();
  const auto onFlushed = m_events.m_onFlushed;
  if (m_discardInput && m_buffer != nullptr) {
    EndSending();
  }
  if (m_closeWhenFlushed) {
    Close();
  }
  if (onFlushed) {
    onFlushed();
  }
}

template<class Head>
void Connection<Head>::OnBufferEvent(short aWhat) {
  const auto self = this->shared_from_this();
  if ((aWhat & BEV_EVENT_CONNECTED) != 0) {
    if (m_heldOutput == nullptr) {
      OnEstablished();
    }
    return;
  }
  if (!m_established) {
    End(m_heldOutput == nullptr ? EndKind::NotConnected : EndKind::RelayFailed);
    return;
  }
  const bool isOrderly = (aWhat & BEV_EVENT_EOF) != 0;
  if (m_relayed != nullptr) {
    OnRelayedEnd(isOrderly);
  } else if (isOrderly) {
    OnPeerFinished();
  } else {
    End(EndKind::Reset);
  }
}

/// Handles the end of the peer's sending side.
template<class Head>
void Connection<Head>::OnPeerFinished() {
  if (!m_discardInput && m_parser->EndsWithConnection() && HasUnreadOutput()) {
    AwaitOutput();
  } else {
    CompleteAtEnd();
  }
}

/// Returns whether the peer has not received all that was written.
template<class Head>
bool Connection<Head>::HasUnreadOutput() const {
  int unacknowledged = 0;
  const bool known = ioctl(bufferevent_getfd(m_buffer), SIOCOUTQ, &unacknowledged) == 0;
  return PendingOutput() > 0 || (known && unacknowledged > 0);
}

/// Decides later whether a response is complete that ended with the connection, before the peer has
/// received all of the request. A peer that has closed the connection resets it when more arrives,
/// and then its response may have been cut; one that has only ended its side goes on reading.
template<class Head>
void Connection<Head>::AwaitOutput() {
  m_outputTimer = m_loop.Every(kOutputCheckInterval, [weak = this->weak_from_this()] {
    const auto connection = weak.lock();
    if (connection == nullptr || connection->m_buffer == nullptr) {
      return;
    }
    int error = 0;
    socklen_t length = sizeof(error);
    const int fd = bufferevent_getfd(connection->m_buffer);
    if (getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &length) != 0 || error != 0) {
      connection->End(EndKind::Reset);
    } else if (!connection->HasUnreadOutput()) {
      connection->CompleteAtEnd();
    }
  });
}

/// Ends the connection after the peer has ended its side.
template<class Head>
void Connection<Head>::CompleteAtEnd() {
  if (!m_isPaused && !m_discardInput && m_parser->m_inMessage) {
    // Only the end of the connection completes a body without a length.
    http_parser_execute(&m_parser->m_parser, &Parser::Settings(), nullptr, 0);
    if (m_buffer == nullptr) {
      return;
    }
  }
  End(EndKind::Finished);
}

template<class Head>
void Connection<Head>::End(EndKind aKind) {
  if (m_buffer == nullptr) {
    return;
  }
  const auto self = this->shared_from_this();
  const auto onEnd = std::move(m_events.m_onEnd);
  const bool inMessage = m_parser->m_inMessage;
  if (aKind == EndKind::Malformed || aKind == EndKind::HeadTooLarge) {
    // Keep the socket open: the owner may still send a response before it closes the connection.
    bufferevent_disable(m_buffer, EV_READ);
    m_isPaused = true;
  } else {
    Close();
  }
  if (onEnd) {
    onEnd(aKind, inMessage);
  }
}

template<class Head>
void Connection<Head>::ReadCallback(bufferevent* /*aBuffer*/, void* aSelf) {
  static_cast<Connection*>(aSelf)->OnReadable();
}

template<class Head>
void Connection<Head>::WriteCallback(bufferevent* /*aBuffer*/, void* aSelf) {
  static_cast<Connection*>(aSelf)->OnWritable();
}

template<class Head>
void Connection<Head>::EventCallback(bufferevent* /*aBuffer*/, short aWhat, void* aSelf) {
  static_cast<Connection*>(aSelf)->OnBufferEvent(aWhat);
}

template class Connection<RequestHead>;
template class Connection<ResponseHead>;

namespace {

void AppendFields(std::string& aText, const Fields& aFields) {
  for (const Field& field : aFields.List()) {
    aText += field.m_name + ": " + field.m_value + "\r\n";
  }
  aText += "\r\n";
}

} // namespace

std::string SerializeHead(const RequestHead& aHead, size_t aBodyBytes) {
  std::string text = aHead.m_method + " " + aHead.m_target + " HTTP/1.1\r\n";
  if (aBodyBytes > 0 || (aHead.m_method != "GET" && aHead.m_method != "HEAD")) {
    text += "Content-Length: " + std::to_string(aBodyBytes) + "\r\n";
  }
  AppendFields(text, aHead.m_fields);
  return text;
}

std::string Serialize(const RequestHead& aHead, std::string_view aBody) {
  std::string text = SerializeHead(aHead, aBody.size());
  text += aBody;
  return text;
}

std::string Serialize(const ResponseHead& aHead) {
  std::string text = "HTTP/1.1 " + std::to_string(aHead.m_status) + " ";
  text += aHead.m_reason.empty() ? std::string(ReasonPhrase(aHead.m_status)) : aHead.m_reason;
  text += "\r\n";
  AppendFields(text, aHead.m_fields);
  return text;
}

std::string EncodeChunk(std::string_view aBytes) {
  std::array<char, 16> size{};
  const auto end = std::to_chars(size.data(), size.data() + size.size(), aBytes.size(), 16).ptr;
  std::string text(size.data(), end);
  text += "\r\n";
  text += aBytes;
  text += "\r\n";
  return text;
}

} // namespace papayafield::adapters::http1
