#include "adapters/http1/Connection.h"
#include "adapters/http1/JsonClient.h"
#include "adapters/http1/SimpleServer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <netinet/in.h>
#include <random>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace papayafield;
using namespace papayafield::adapters;
using namespace papayafield::adapters::http1;

namespace {

/// A socket pair: one end is a connection, the test writes raw bytes to the other.
template<class Head>
struct ConnectionFixture {
  ConnectionFixture() {
    int fds[2] = { -1, -1 };
    BOOST_REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, fds) == 0);
    m_peer = fds[1];
    m_connection = Connection<Head>::FromAcceptedSocket(m_loop, fds[0], 4096);
    ConnectionEvents<Head> events;
    events.m_onHead = [this](Head&& aHead) { m_heads.push_back(std::move(aHead)); };
    events.m_onBody = [this](std::string_view aBytes) { m_body += aBytes; };
    events.m_onComplete = [this] {
      ++m_completed;
      if (m_resume) {
        m_connection->Resume();
      }
      m_loop.Stop();
    };
    events.m_onEnd = [this](EndKind aKind, bool aInMessage) {
      m_end = aKind;
      m_isTruncated = aInMessage;
      m_loop.Stop();
    };
    events.m_onUnexpectedData = [this] {
      ++m_unexpected;
      m_loop.Stop();
    };
    m_connection->SetEvents(std::move(events));
  }
  ~ConnectionFixture() {
    m_connection->Close();
    ClosePeer();
  }
  ConnectionFixture(const ConnectionFixture&) = delete;
  ConnectionFixture& operator=(const ConnectionFixture&) = delete;
  ConnectionFixture(ConnectionFixture&&) = delete;
  ConnectionFixture& operator=(ConnectionFixture&&) = delete;

  void Send(std::string_view aBytes) {
    BOOST_REQUIRE(write(m_peer, aBytes.data(), aBytes.size()) ==
                  static_cast<ssize_t>(aBytes.size()));
  }
  void ClosePeer() {
    if (m_peer >= 0) {
      close(m_peer);
      m_peer = -1;
    }
  }
  /// Runs the loop until the next callback.
  void Run() { m_loop.Run(); }

  http::EventLoop m_loop;
  int m_peer = -1;
  std::shared_ptr<Connection<Head>> m_connection;
  std::vector<Head> m_heads;
  std::string m_body;
  int m_completed = 0;
  int m_unexpected = 0;
  bool m_resume = false;
  std::optional<EndKind> m_end;
  bool m_isTruncated = false;
};

struct BadRequest {
  const char* m_what;
  const char* m_bytes;
};

const BadRequest kBadRequests[] = {
  { "two lengths",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd" },
  { "length and chunks",
    "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: "
    "chunked\r\n\r\n0\r\n\r\n" },
  { "chunks and length",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nContent-Length: "
    "3\r\n\r\n0\r\n\r\n" },
  { "unknown coding",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n" },
  { "two codings",
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: "
    "chunked\r\n\r\n0\r\n\r\n" },
  { "negative length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n" },
  { "no method", "\x01\x02\x03\r\n\r\n" },
  { "bad chunk size", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n" },
  { "space in a field name", "GET /a HTTP/1.1\r\nHo st: h\r\n\r\n" },
  { "upgrade", "CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n" },
  { "HTTP/0.9", "GET /a\r\nHost: h\r\n\r\n" },
  { "HTTP/3.7", "GET /a HTTP/3.7\r\nHost: h\r\n\r\n" },
  { "control character in the target", "GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n" },
};

/// A call with a long body over TCP whose endpoint answers after the head, without a length.
class EarlyResponse {
public:
  /// The endpoint sends the response and, after `aDelay`, resets the connection (`aResets`) or
  /// closes it. If `aReadsAll` is set, it ends only its sending side and reads all of the request.
  EarlyResponse(bool aResets, base::Millis aDelay, bool aReadsAll = false)
    : m_resets(aResets)
    , m_delay(aDelay)
    , m_readsAll(aReadsAll) {
    std::signal(SIGPIPE, SIG_IGN);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    m_listener = socket(AF_INET, SOCK_STREAM, 0);
    BOOST_REQUIRE(bind(m_listener, reinterpret_cast<sockaddr*>(&address), length) == 0);
    BOOST_REQUIRE(listen(m_listener, 1) == 0);
    BOOST_REQUIRE(getsockname(m_listener, reinterpret_cast<sockaddr*>(&address), &length) == 0);
    m_connection = ClientConnection::ConnectTo(
      m_loop, { "127.0.0.1", ntohs(address.sin_port) }, base::Millis(5000));
    ClientConnection::Events events;
    events.m_onHead = [this](ResponseHead&& /*aHead*/) { ++m_heads; };
    events.m_onBody = [this](std::string_view aBytes) { m_body += aBytes; };
    events.m_onComplete = [this] {
      ++m_completed;
      m_loop.Stop();
    };
    events.m_onEnd = [this](EndKind aKind, bool /*aInMessage*/) {
      m_end = aKind;
      m_loop.Stop();
    };
    m_connection->SetEvents(std::move(events));
  }
  ~EarlyResponse() {
    m_connection->Close();
    close(m_listener);
  }
  EarlyResponse(const EarlyResponse&) = delete;
  EarlyResponse& operator=(const EarlyResponse&) = delete;
  EarlyResponse(EarlyResponse&&) = delete;
  EarlyResponse& operator=(EarlyResponse&&) = delete;

  /// Runs the call until it ends.
  void Run() {
    std::thread endpoint([this] { Respond(); });
    RequestHead head;
    head.m_method = "POST";
    head.m_target = "/a";
    m_connection->Write(Serialize(head, std::string(kBodyBytes, 'x')));
    m_loop.Run();
    m_connection->Close();
    // The loop closes the socket.
    const auto stop = m_loop.After(base::Millis(1), [this] { m_loop.Stop(); });
    m_loop.Run();
    endpoint.join();
  }

  int m_heads = 0;
  int m_completed = 0;
  std::string m_body;
  std::optional<EndKind> m_end;

private:
  static constexpr size_t kBodyBytes = 16U << 20U;

  void Respond() const {
    const int fd = accept(m_listener, nullptr, nullptr);
    std::string buffer(65536, 0);
    recv(fd, buffer.data(), buffer.size(), 0);
    constexpr std::string_view kResponse = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\npart";
    send(fd, kResponse.data(), kResponse.size(), MSG_NOSIGNAL);
    std::this_thread::sleep_for(m_delay);
    if (m_readsAll) {
      shutdown(fd, SHUT_WR);
      while (recv(fd, buffer.data(), buffer.size(), 0) > 0) {
      }
    } else if (m_resets) {
      const linger discard{ 1, 0 };
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &discard, sizeof(discard));
    } else {
      // Without unread bytes, the connection ends regularly before further bytes reset it.
      while (recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT) > 0) {
      }
    }
    close(fd);
  }

  const bool m_resets;
  const base::Millis m_delay;
  const bool m_readsAll;
  int m_listener = -1;
  http::EventLoop m_loop;
  std::shared_ptr<ClientConnection> m_connection;
};

/// Ways in which the end of a response can be marked.
const char* const kResponses[] = {
  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 5\r\nX-Signature: s\r\n\r\nabcde",
  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: "
  "chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n",
  "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Signature: s\r\n\r\nabcde",
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde",
};

/// Messages that are no responses of HTTP/1.x, in their status line or in the bytes before the
/// final response.
const char* const kInvalidResponses[] = {
  // Numbers outside 100 to 599, and numbers without exactly three digits.
  "HTTP/1.1 0 \r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 7 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 20 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 099 X\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 0200 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 2000 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 600 X\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 999 X\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 -20 X\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 2x0 X\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1  200 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 \r\nContent-Length: 0\r\n\r\n",
  // Other versions.
  "HTTP/3.7 200 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/0.9 200 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/11.1 200 OK\r\nContent-Length: 0\r\n\r\n",
  "ICY 200 OK\r\nContent-Length: 0\r\n\r\n",
  // A control character in the reason phrase.
  "HTTP/1.1 200 O\x01K\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 404 Not\x7f\r\nContent-Length: 0\r\n\r\n",
  // A response that follows an interim one.
  "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 0 \r\nContent-Length: 0\r\n\r\n",
  // An interim response has no body, whatever its fields say.
  "HTTP/1.1 103 X\r\nContent-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
  "HTTP/1.1 103 X\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
};

/// Valid responses, with the status that is to be read.
const std::pair<const char*, int> kValidResponses[] = {
  { "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200 },
  { "HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", 200 },
  { "HTTP/1.1 599 \r\nContent-Length: 0\r\n\r\n", 599 },
  { "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n", 404 },
  { "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", 200 },
  { "HTTP/1.1 200 \xC3\xBC\tb\r\nContent-Length: 0\r\n\r\n", 200 },
  { "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nLink: x\r\n\r\n"
    "HTTP/1.1 204 No Content\r\n\r\n",
    204 },
};

bool EndsWithConnection(std::string_view aResponse) {
  return aResponse.find("Content-Length") == std::string_view::npos &&
         aResponse.find("Transfer-Encoding") == std::string_view::npos;
}

/// Reads the first `aLength` bytes of `aResponse` on `aFixture` and then the end of the connection.
void ReadTruncated(ConnectionFixture<ResponseHead>& aFixture,
                   std::string_view aResponse,
                   size_t aLength,
                   EndKind aEnd) {
  if (aEnd == EndKind::Reset) {
    // A Unix socket that is closed with unread input resets its peer.
    aFixture.m_connection->Write("unread");
    const auto written = aFixture.m_loop.After(base::Millis(0), [&] { aFixture.m_loop.Stop(); });
    while (aFixture.m_connection->PendingOutput() > 0) {
      aFixture.Run();
    }
  }
  aFixture.Send(aResponse.substr(0, aLength));
  aFixture.ClosePeer();
  while (!aFixture.m_end) {
    aFixture.Run();
  }
}

/// Reads `aResponse` on `aFixture` in two reads, of which the first ends at `aSplit`, until the
/// response is complete or the connection has ended.
void ReadInTwoParts(ConnectionFixture<ResponseHead>& aFixture,
                    std::string_view aResponse,
                    size_t aSplit) {
  constexpr base::Millis kReadTime{ 1 };
  for (const std::string_view part : { aResponse.substr(0, aSplit), aResponse.substr(aSplit) }) {
    aFixture.Send(part);
    const auto read = aFixture.m_loop.After(kReadTime, [&] { aFixture.m_loop.Stop(); });
    while (!aFixture.m_end && aFixture.m_completed == 0 && aFixture.m_connection->IsOpen()) {
      aFixture.Run();
      if (aFixture.m_connection->PendingInput() == 0) {
        break;
      }
    }
  }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionTest)

// A request with ambiguous framing allows request smuggling. It must be rejected however its bytes
// are split into reads.
BOOST_AUTO_TEST_CASE(AmbiguousRequestsAreMalformed) {
  for (const BadRequest& bad : kBadRequests) {
    const std::string_view bytes = bad.m_bytes;
    for (const size_t split : { size_t(0), bytes.size() / 2, bytes.size() - 1 }) {
      ConnectionFixture<RequestHead> fixture;
      fixture.Send(bytes.substr(0, split));
      fixture.Send(bytes.substr(split));
      fixture.Run();
      BOOST_TEST_CONTEXT(bad.m_what) {
        BOOST_TEST((fixture.m_end == EndKind::Malformed));
        BOOST_TEST(fixture.m_completed == 0);
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(HeadOverTheSizeLimitIsRejected) {
  ConnectionFixture<RequestHead> fixture;
  fixture.Send("GET /a HTTP/1.1\r\nHost: h\r\nX: " + std::string(5000, 'x') + "\r\n\r\n");
  fixture.Run();
  BOOST_TEST((fixture.m_end == EndKind::HeadTooLarge));
}

// The second of two pipelined requests must not be reported until the first has been handled.
BOOST_AUTO_TEST_CASE(PipelinedRequestsAreReportedOneAtATime) {
  ConnectionFixture<RequestHead> fixture;
  fixture.Send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  fixture.Run();
  BOOST_TEST(fixture.m_heads.size() == 1U);
  fixture.m_connection->Resume();
  fixture.Run();
  BOOST_REQUIRE(fixture.m_heads.size() == 2U);
  BOOST_TEST(fixture.m_heads[1].m_target == "/2");
}

// What callers send behind a request that is being answered was held without a bound on the memory
// of all of them: 256 KiB each.
BOOST_AUTO_TEST_CASE(FewBytesAreHeldBehindARequest) {
  constexpr size_t kMaxHeldBytes = 32768;
  constexpr size_t kBodyBytes = 1U << 20U;
  constexpr base::Millis kReadTime{ 2 };
  ConnectionFixture<RequestHead> fixture;
  const std::string body(kBodyBytes, 'x');
  const std::string bytes =
    "GET /1 HTTP/1.1\r\nHost: h\r\n\r\nPOST /2 HTTP/1.1\r\nHost: h\r\nContent-Length: " +
    std::to_string(kBodyBytes) + "\r\n\r\n" + body;
  size_t sent = 0;
  const auto sendMore = [&] {
    const ssize_t count =
      send(fixture.m_peer, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
    sent += static_cast<size_t>(std::max<ssize_t>(count, 0));
    const auto read = fixture.m_loop.After(kReadTime, [&] { fixture.m_loop.Stop(); });
    fixture.Run();
  };
  constexpr int kReads = 50;
  for (int i = 0; i < kReads; ++i) {
    sendMore();
  }
  BOOST_TEST(fixture.m_completed == 1);
  BOOST_TEST(fixture.m_connection->PendingInput() <= kMaxHeldBytes);
  fixture.m_connection->Resume();
  constexpr int kMaxReads = 5000;
  for (int i = 0; i < kMaxReads && fixture.m_completed < 2; ++i) {
    sendMore();
  }
  BOOST_TEST(fixture.m_completed == 2);
  BOOST_TEST((fixture.m_body == body));
}

BOOST_AUTO_TEST_CASE(ChunkedBodyIsReadCompletely) {
  ConnectionFixture<RequestHead> fixture;
  fixture.Send(
    "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n");
  fixture.Send("0\r\n\r\n");
  while (fixture.m_completed == 0) {
    fixture.Run();
  }
  BOOST_TEST(fixture.m_body == "abcde");
}

// A response without a length is complete only when the peer closes the connection in an orderly
// way.
BOOST_AUTO_TEST_CASE(ResponseWithoutLengthEndsWithTheConnection) {
  ConnectionFixture<ResponseHead> fixture;
  fixture.Send("HTTP/1.1 200 OK\r\n\r\nabc");
  fixture.ClosePeer();
  while (!fixture.m_end) {
    fixture.Run();
  }
  BOOST_TEST(fixture.m_completed == 1);
  BOOST_TEST(fixture.m_body == "abc");
  BOOST_TEST(!fixture.m_connection->ShouldKeepAlive());
}

BOOST_AUTO_TEST_CASE(TruncatedResponseIsNotComplete) {
  ConnectionFixture<ResponseHead> fixture;
  fixture.Send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc");
  fixture.ClosePeer();
  while (!fixture.m_end) {
    fixture.Run();
  }
  BOOST_TEST(fixture.m_completed == 0);
  BOOST_TEST(fixture.m_isTruncated);
}

// A response that ended within its head was reported as complete, with an empty body.
BOOST_AUTO_TEST_CASE(ResponseIsIncompleteWhereverItIsCut) {
  for (const std::string_view response : kResponses) {
    const size_t headEnd = response.rfind("\r\n\r\n", response.find("abc")) + 4;
    for (const EndKind end : { EndKind::Finished, EndKind::Reset }) {
      for (const bool kept : { false, true }) {
        for (size_t cut = 0; cut < response.size(); ++cut) {
          ConnectionFixture<ResponseHead> fixture;
          if (kept) {
            fixture.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n-");
            fixture.Run();
            fixture.m_connection->Resume();
          }
          ReadTruncated(fixture, response, cut, end);
          const int before = kept ? 1 : 0;
          const bool mayBeComplete =
            EndsWithConnection(response) && cut >= headEnd && end == EndKind::Finished;
          BOOST_TEST_CONTEXT(response.substr(0, cut) << base::NameOf(end) << " kept " << kept) {
            BOOST_TEST((fixture.m_end == end));
            BOOST_TEST(fixture.m_completed == before + (mayBeComplete ? 1 : 0));
            BOOST_TEST(fixture.m_heads.size() ==
                       static_cast<size_t>(before + (cut >= headEnd ? 1 : 0)));
            BOOST_TEST(fixture.m_isTruncated == (cut > 0 && !mayBeComplete));
          }
        }
      }
    }
  }
}

// A response whose status is no status of HTTP was passed on to callers, who got a status line that
// they could not read.
// An endpoint that answered a long upload at once, without a length, and reset the connection while
// the upload was being written: the part of the body that arrived was taken for all of it.
BOOST_AUTO_TEST_CASE(EarlyResponseWithoutLengthIsIncompleteIfTheUploadIsCut) {
  for (const bool resets : { true, false }) {
    for (int round = 0; round < 20; ++round) {
      BOOST_TEST_CONTEXT((resets ? "reset" : "closed") << ", round " << round) {
        EarlyResponse exchange(resets, base::Millis(round % 4));
        exchange.Run();
        BOOST_TEST(exchange.m_completed == 0);
        BOOST_TEST((exchange.m_end == EndKind::Reset));
      }
    }
  }
}

// An endpoint that answers early and still reads the rest of the upload has answered completely.
BOOST_AUTO_TEST_CASE(EarlyResponseWithoutLengthIsCompleteIfTheUploadIsRead) {
  EarlyResponse exchange(false, base::Millis(0), true);
  exchange.Run();
  BOOST_TEST(exchange.m_completed == 1);
  BOOST_TEST(exchange.m_body == "part");
}

BOOST_AUTO_TEST_CASE(ResponsesWithAnInvalidStatusLineAreMalformed) {
  for (const std::string_view response : kInvalidResponses) {
    for (size_t split = 0; split < response.size(); ++split) {
      ConnectionFixture<ResponseHead> fixture;
      ReadInTwoParts(fixture, response, split);
      BOOST_TEST_CONTEXT(response << " split at " << split) {
        BOOST_TEST((fixture.m_end == EndKind::Malformed));
        BOOST_TEST(fixture.m_heads.empty());
        BOOST_TEST(fixture.m_body.empty());
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(ValidStatusLinesAreReadHoweverTheyAreSplit) {
  for (const auto& [text, status] : kValidResponses) {
    const std::string_view response = text;
    for (size_t split = 0; split < response.size(); ++split) {
      ConnectionFixture<ResponseHead> fixture;
      ReadInTwoParts(fixture, response, split);
      BOOST_TEST_CONTEXT(response << " split at " << split) {
        BOOST_TEST(fixture.m_completed == 1);
        BOOST_REQUIRE(fixture.m_heads.size() == 1U);
        BOOST_TEST(fixture.m_heads[0].m_status == status);
      }
    }
  }
}

// The body that a 304 announces was read from the response after it.
BOOST_AUTO_TEST_CASE(ResponsesWithoutABodyEndWithTheirHead) {
  for (const char* status : { "204 No Content", "304 Not Modified" }) {
    ConnectionFixture<ResponseHead> fixture;
    fixture.m_resume = true;
    fixture.Send(std::string("HTTP/1.1 ") + status + "\r\nContent-Length: 16\r\n\r\n");
    fixture.Run();
    BOOST_TEST(fixture.m_completed == 1);
    BOOST_TEST(fixture.m_body.empty());
  }
}

// The last trailer field of a chunked message became the first header field of the next message on
// the connection.
BOOST_AUTO_TEST_CASE(TrailerFieldsAreNoPartOfTheNextMessage) {
  ConnectionFixture<ResponseHead> client;
  client.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "1\r\na\r\n0\r\nX-Id: 1\r\nX-Signature: s\r\n\r\n");
  client.Run();
  BOOST_REQUIRE(client.m_completed == 1);
  client.m_connection->Resume();
  client.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nb");
  client.Run();
  BOOST_REQUIRE(client.m_heads.size() == 2U);
  BOOST_TEST(client.m_heads[1].m_fields.List().size() == 1U);

  ConnectionFixture<RequestHead> server;
  server.Send("POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
              "0\r\nAuthorization: Bearer k\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n");
  server.Run();
  server.m_connection->Resume();
  server.Run();
  BOOST_REQUIRE(server.m_heads.size() == 2U);
  BOOST_TEST(server.m_heads[1].m_fields.List().size() == 1U);
}

// Unexpected bytes after a complete response must be reported, also if one read returned both.
BOOST_AUTO_TEST_CASE(UnexpectedBytesAfterAResponseAreReported) {
  ConnectionFixture<ResponseHead> fixture;
  fixture.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\naHTTP/1.1 200 OK\r\n");
  while (fixture.m_unexpected == 0) {
    fixture.Run();
  }
  BOOST_TEST(fixture.m_completed == 1);
  BOOST_TEST(fixture.m_connection->PendingInput() > 0U);
}

// Guards against counting the bytes of the response itself as pending input when m_onComplete is
// called: no connection was reused then.
BOOST_AUTO_TEST_CASE(NoInputIsPendingAfterACompleteResponse) {
  ConnectionFixture<ResponseHead> fixture;
  size_t pendingBytes = 99;
  ConnectionFixture<ResponseHead>* const self = &fixture;
  ConnectionEvents<ResponseHead> events;
  events.m_onComplete = [&, self] {
    pendingBytes = self->m_connection->PendingInput();
    self->m_loop.Stop();
  };
  fixture.m_connection->SetEvents(std::move(events));
  fixture.Send("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\na");
  fixture.Run();
  BOOST_TEST(pendingBytes == 0U);
}

// A stopping node waits for answers that a slow reader has not taken yet.
BOOST_AUTO_TEST_CASE(CloseWhenFlushedReportsWhenAllBytesAreSent) {
  ConnectionFixture<RequestHead> fixture;
  constexpr size_t kBytes = 4U << 20U;
  bool closed = false;
  fixture.m_connection->Write(std::string(kBytes, 'x'));
  fixture.m_connection->CloseWhenFlushed([&] {
    closed = true;
    fixture.m_loop.Stop();
  });
  const auto pause = fixture.m_loop.After(base::Millis(50), [&] { fixture.m_loop.Stop(); });
  fixture.Run();
  BOOST_TEST(!closed);
  size_t received = 0;
  std::vector<char> buffer(65536);
  const auto reader = fixture.m_loop.OnReadable(fixture.m_peer, [&] {
    const ssize_t bytes = read(fixture.m_peer, buffer.data(), buffer.size());
    received += static_cast<size_t>(std::max<ssize_t>(bytes, 0));
  });
  fixture.Run();
  BOOST_TEST(closed);
  while (received < kBytes) {
    const ssize_t bytes = read(fixture.m_peer, buffer.data(), buffer.size());
    BOOST_REQUIRE(bytes > 0);
    received += static_cast<size_t>(bytes);
  }
  BOOST_TEST(received == kBytes);
}

BOOST_AUTO_TEST_CASE(CloseWhenFlushedReportsAPeerThatHasGone) {
  std::signal(SIGPIPE, SIG_IGN);
  ConnectionFixture<RequestHead> fixture;
  bool closed = false;
  fixture.m_connection->Write(std::string(4U << 20U, 'x'));
  fixture.m_connection->CloseWhenFlushed([&] {
    closed = true;
    fixture.m_loop.Stop();
  });
  fixture.ClosePeer();
  fixture.Run();
  BOOST_TEST(closed);
}

// With arbitrary input, a connection ends or continues, and never reads past its input.
BOOST_AUTO_TEST_CASE(MutatedRequestsAreHandledSafely) {
  const std::string good =
    "POST /a?x=1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\nX-A: b\r\n\r\nabcd"
    "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  for (uint64_t seed = 1; seed <= 400; ++seed) {
    std::mt19937_64 random(seed);
    std::string bytes = good;
    for (int change = 0; change < 3; ++change) {
      bytes[random() % bytes.size()] = static_cast<char>(random());
    }
    ConnectionFixture<RequestHead> fixture;
    fixture.m_resume = true;
    fixture.Send(bytes);
    fixture.ClosePeer();
    while (!fixture.m_end) {
      fixture.Run();
    }
    BOOST_TEST(fixture.m_completed <= 3);
  }
}

BOOST_AUTO_TEST_CASE(QueryParametersAreDecoded) {
  BOOST_TEST(QueryParameter("/a?x=1&name=a%2Fb+c", "name") == "a/b c");
  BOOST_TEST(QueryParameter("/a?x=1", "name").empty());
  BOOST_TEST(PercentEncode("a b/ü") == "a%20b/%C3%BC");
}

// Sequential calls of a client over TCP, which reuse its idle connection, must each return the
// response to their own request.
BOOST_AUTO_TEST_CASE(SequentialCallsReturnTheirOwnResponses) {
  http::EventLoop loop;
  const base::Address address{ "127.0.0.1", static_cast<uint16_t>(20000 + getpid() % 9000) };
  SimpleServer server(loop, address, [](const RequestHead& aHead) {
    return SimpleResponse{ 200, "text/plain", aHead.m_target };
  });
  BOOST_REQUIRE(server.Listening());
  JsonClient client(loop, address);
  std::vector<std::string> bodies;
  const auto onDone = [&](const CallResult& aResult) {
    bodies.push_back(aResult.m_body);
    loop.Stop();
  };
  for (const char* target : { "/1", "/2", "/3" }) {
    client.Call("GET", target, {}, {}, base::Millis(60000), onDone);
    loop.Run();
  }
  BOOST_TEST(bodies == (std::vector<std::string>{ "/1", "/2", "/3" }),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(UnreachableServiceReportsNoExecution) {
  http::EventLoop loop;
  JsonClient client(loop, { "127.0.0.1", 1 });
  std::optional<CallResult> result;
  client.Call("GET", "/", {}, {}, base::Millis(60000), [&](CallResult aResult) {
    result = std::move(aResult);
    loop.Stop();
  });
  loop.Run();
  BOOST_TEST(result->m_status == 0);
  BOOST_TEST(!result->m_maybeExecuted);
}

// A response that cannot be read counts as no response to a request that may have been executed.
BOOST_AUTO_TEST_CASE(ResponseWithAnInvalidStatusMayHaveBeenExecuted) {
  http::EventLoop loop;
  const base::Address address{ "127.0.0.1", static_cast<uint16_t>(20000 + getpid() % 9000) };
  std::shared_ptr<ServerConnection> served;
  const Listener listener(loop, address, 4096, [&](std::shared_ptr<ServerConnection> aConnection) {
    served = std::move(aConnection);
    ConnectionEvents<RequestHead> events;
    events.m_onComplete = [&] { served->Write("HTTP/1.1 0 \r\nContent-Length: 0\r\n\r\n"); };
    served->SetEvents(std::move(events));
  });
  JsonClient client(loop, address);
  std::optional<CallResult> result;
  client.Call("POST", "/", "{}", {}, base::Millis(60000), [&](const CallResult& aResult) {
    result = aResult;
    loop.Stop();
  });
  loop.Run();
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result->m_status == 0);
  BOOST_TEST(result->m_maybeExecuted);
}

// A call whose validity has ended is not sent, also on an open connection.
BOOST_AUTO_TEST_CASE(ExpiredCallIsNotSent) {
  http::EventLoop loop;
  const base::Address address{ "127.0.0.1", static_cast<uint16_t>(20000 + getpid() % 9000) };
  int requests = 0;
  SimpleServer server(loop, address, [&](const RequestHead& /*aHead*/) {
    ++requests;
    return SimpleResponse{ 200, "text/plain", "" };
  });
  BOOST_REQUIRE(server.Listening());
  JsonClient client(loop, address);
  std::vector<CallResult> results;
  const auto onDone = [&](const CallResult& aResult) {
    results.push_back(aResult);
    loop.Stop();
  };
  const auto expired = base::BootNow() - base::Millis(1);
  for (const auto validUntil : { base::TimePoint::max(), expired, base::TimePoint::max() }) {
    client.Call("POST", "/", "{}", {}, base::Millis(60000), onDone, validUntil);
    loop.Run();
  }
  BOOST_TEST(requests == 2);
  BOOST_TEST(results[1].m_status == 0);
  BOOST_TEST(!results[1].m_maybeExecuted);
  BOOST_TEST(results[2].m_status == 200);
}

// A call without an answer ends with its validity, and its connection is reset, so that the kernel
// does not go on sending it.
BOOST_AUTO_TEST_CASE(UnansweredCallIsResetWhenItsValidityEnds) {
  http::EventLoop loop;
  const base::Address address{ "127.0.0.1", static_cast<uint16_t>(20000 + getpid() % 9000) };
  std::shared_ptr<ServerConnection> served;
  std::optional<EndKind> end;
  std::optional<CallResult> result;
  const Listener listener(loop, address, 4096, [&](std::shared_ptr<ServerConnection> aConnection) {
    served = std::move(aConnection);
    ConnectionEvents<RequestHead> events;
    events.m_onEnd = [&](EndKind aKind, bool /*aInMessage*/) {
      end = aKind;
      loop.Stop();
    };
    served->SetEvents(std::move(events));
  });
  JsonClient client(loop, address);
  client.Call(
    "POST",
    "/",
    "{}",
    {},
    base::Millis(60000),
    [&](const CallResult& aResult) { result = aResult; },
    base::BootNow() + base::Millis(200));
  loop.Run();
  BOOST_TEST((end == EndKind::Reset));
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result->m_maybeExecuted);
}

// Interim responses count against the limit on the size of a head.
BOOST_AUTO_TEST_CASE(InterimResponsesWithoutEndAreRejected) {
  for (const std::string_view interim :
       { "HTTP/1.1 100\r\n\r\n", "HTTP/1.1 103 X\r\nLink: x\r\n\r\n" }) {
    ConnectionFixture<ResponseHead> fixture;
    constexpr base::Millis kReadTime{ 2 };
    size_t sent = 0;
    for (; sent < 16384 && !fixture.m_end; sent += interim.size()) {
      fixture.Send(interim);
      if (sent % 1024 < interim.size()) {
        const auto read = fixture.m_loop.After(kReadTime, [&] { fixture.m_loop.Stop(); });
        fixture.Run();
      }
    }
    BOOST_TEST((fixture.m_end == EndKind::HeadTooLarge));
  }
}

// A service whose answer never ended took all memory of its client.
BOOST_AUTO_TEST_CASE(AnswerWithoutEndFails) {
  http::EventLoop loop;
  const base::Address address{ "127.0.0.1", static_cast<uint16_t>(20000 + getpid() % 9000) };
  const std::string part(65536, 'x');
  constexpr size_t kMaxSent = 64U << 20U;
  size_t sent = 0;
  bool answering = false;
  std::shared_ptr<ServerConnection> served;
  const Listener listener(loop, address, 4096, [&](std::shared_ptr<ServerConnection> aConnection) {
    served = std::move(aConnection);
    ConnectionEvents<RequestHead> events;
    events.m_onComplete = [&] {
      answering = true;
      served->Write("HTTP/1.1 200 OK\r\n\r\n");
    };
    events.m_onFlushed = [&] {
      // Also called when the connection has just been accepted.
      if (!answering) {
        return;
      }
      sent += part.size();
      if (sent > kMaxSent) {
        loop.Stop();
      } else {
        served->Write(part);
      }
    };
    served->SetEvents(std::move(events));
  });
  JsonClient client(loop, address);
  std::optional<CallResult> result;
  client.Call("GET", "/", {}, {}, base::Millis(60000), [&](const CallResult& aResult) {
    result = aResult;
    loop.Stop();
  });
  loop.Run();
  BOOST_REQUIRE(result.has_value());
  BOOST_TEST(result->m_status == 0);
  BOOST_TEST(result->m_maybeExecuted);
  BOOST_TEST(sent > JsonClient::kMaxBodyBytes);
}

// Large answers on slow links were given up shortly before their end, and requested again.
BOOST_AUTO_TEST_CASE(AnswerThatKeepsArrivingIsNotGivenUp) {
  constexpr size_t kNeverStalls = 1000;
  struct Case {
    size_t m_parts;
    size_t m_stallsAfter;
    int m_status;
    base::Millis m_minDuration;
    base::Millis m_maxDuration;
  };
  constexpr CallTimeouts kTimeouts{ base::Millis(300), base::Millis(1500) };
  for (const Case& aCase : {
         Case{ 8, kNeverStalls, 200, base::Millis(700), base::Millis(1400) },
         Case{ 8, 3, 0, base::Millis(450), base::Millis(1200) },
         Case{ 100, kNeverStalls, 0, base::Millis(1500), base::Millis(2500) },
       }) {
    http::EventLoop loop;
    const base::Address address{ "127.0.0.1", static_cast<uint16_t>(20000 + getpid() % 9000) };
    std::shared_ptr<ServerConnection> served;
    const Listener listener(
      loop, address, 4096, [&](std::shared_ptr<ServerConnection> aConnection) {
        served = std::move(aConnection);
        ConnectionEvents<RequestHead> events;
        events.m_onComplete = [&] {
          served->Write("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aCase.m_parts) +
                        "\r\n\r\n");
        };
        served->SetEvents(std::move(events));
      });
    size_t sent = 0;
    const auto timer = loop.Every(base::Millis(100), [&] {
      if (served && sent < std::min(aCase.m_parts, aCase.m_stallsAfter)) {
        served->Write("x");
        ++sent;
      }
    });
    JsonClient client(loop, address);
    std::optional<CallResult> result;
    const auto start = base::BootNow();
    client.Call("GET", "/", {}, {}, kTimeouts, [&](const CallResult& aResult) {
      result = aResult;
      loop.Stop();
    });
    loop.Run();
    const auto duration = base::BootNow() - start;
    BOOST_REQUIRE(result.has_value());
    BOOST_TEST(result->m_status == aCase.m_status);
    BOOST_TEST((duration >= aCase.m_minDuration && duration <= aCase.m_maxDuration));
  }
}

BOOST_AUTO_TEST_SUITE_END()
