#include "base/Digest.h"
#include "tests/harness/PlatformFleet.h"

#include <boost/test/unit_test.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

/// \file
/// Tests that a stream that has begun contains only its own events, each once and in order, and
/// that it does not look complete unless it is.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

/// Number of streams per mode: enough for each runner to be the first one of some.
constexpr int kStreams = 6;
constexpr std::string_view kLastChunk = "0\r\n\r\n";

/// Requests a stream and returns the bytes received until the node closes the connection.
std::string ReceiveStream(const PlatformFleet& aFleet) {
  const base::Address to = aFleet.CallerAddress(0);
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(to.m_port);
  inet_pton(AF_INET, to.m_host.c_str(), &address.sin_addr);
  std::string bytes;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0) {
    std::string request = "POST /stream/a HTTP/1.1\r\nContent-Length: 0\r\nConnection: close\r\n";
    for (const auto& field :
         MakeCallerHeaders("h.example", "key-1", base::RandomHex(8), base::Millis(5000))) {
      request += field.m_name + ": " + field.m_value + "\r\n";
    }
    request += "\r\n";
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    char part[4096];
    for (ssize_t got = 0; (got = recv(fd, part, sizeof(part), 0)) > 0;) {
      bytes.append(part, static_cast<size_t>(got));
    }
  }
  close(fd);
  return bytes;
}

/// Returns the body of a chunked answer as far as it was received. Text between chunks that is no
/// chunk size is returned too.
std::string DecodeChunks(std::string_view aBytes) {
  std::string body;
  while (!aBytes.empty()) {
    const size_t lineEnd = aBytes.find("\r\n");
    const std::string size(aBytes.substr(0, lineEnd));
    char* end = nullptr;
    const size_t length = std::strtoul(size.c_str(), &end, 16);
    if (lineEnd == std::string_view::npos || end == size.c_str() || *end != '\0') {
      return body + std::string(aBytes);
    }
    body += aBytes.substr(lineEnd + 2, length);
    aBytes.remove_prefix(std::min(aBytes.size(), lineEnd + 2 + length + 2));
  }
  return body;
}

/// Returns the first `aCount` events of a stream.
std::string Events(int aCount) {
  std::string text;
  for (int i = 1; i <= aCount; ++i) {
    text += "id: " + std::to_string(i) + "\ndata: piece " + std::to_string(i) + "\n\n";
  }
  return text;
}

/// Checks a complete answer or a stream. Returns the number of events of a stream; -1 for another
/// answer.
int CheckStream(const std::string& aBytes, const std::string& aWhat) {
  constexpr int kEvents = 12;
  const size_t headEnd = aBytes.find("\r\n\r\n");
  BOOST_REQUIRE_MESSAGE(headEnd != std::string::npos, aWhat << ": " << aBytes);
  const std::string head = aBytes.substr(0, headEnd);
  if (head.find("text/event-stream") == std::string::npos) {
    return -1;
  }
  const std::string body = DecodeChunks(std::string_view(aBytes).substr(headEnd + 4));
  int count = 0;
  while (count < kEvents && body.size() > Events(count).size()) {
    ++count;
  }
  BOOST_TEST(body == Events(count), aWhat << ": " << aBytes);
  BOOST_TEST(aBytes.ends_with(kLastChunk) == (count == kEvents), aWhat << ": " << aBytes);
  return count;
}

void SetMode(const PlatformFleet& aFleet, int aRunner, const char* aMode) {
  aFleet.PostControl("runner", { { "index", aRunner }, { "mode", aMode } });
}

/// Checks streams that break at the first runner, with the second one in the mode `aMode`.
void CheckResumption(const char* aMode) {
  const PlatformFleet fleet(1, 2);
  SetMode(fleet, 0, "cut");
  SetMode(fleet, 1, aMode);
  int begun = 0;
  for (int i = 0; i < kStreams; ++i) {
    begun += CheckStream(ReceiveStream(fleet), aMode) > 0 ? 1 : 0;
  }
  BOOST_TEST(begun > 0, aMode);
}

} // namespace

BOOST_AUTO_TEST_SUITE(BrokenStreamsTest)

// The head of a 502 followed the last event.
BOOST_AUTO_TEST_CASE(BrokenStreamWithoutAnotherRunnerGetsNoSecondHead) {
  const PlatformFleet fleet(1, 1);
  SetMode(fleet, 0, "cut");
  BOOST_TEST(CheckStream(ReceiveStream(fleet), "cut") == 5);
}

// An error of the second runner reached the caller as a part of the stream.
BOOST_AUTO_TEST_CASE(ErrorOfTheNextRunnerIsNoPartOfAStream) {
  for (const char* mode : { "fail", "shed", "shed_without_id", "plain", "lose_answers", "cut" }) {
    CheckResumption(mode);
  }
}

// Events came twice, or were missing, after the runner had changed.
BOOST_AUTO_TEST_CASE(RunThatDoesNotContinueAStreamIsNotJoinedToIt) {
  CheckResumption("restart");
  CheckResumption("skip");
}

// Events of an answer that states that the call was not executed reached the caller, and again
// those of the next runner.
BOOST_AUTO_TEST_CASE(ContradictoryAnswerIsNoPartOfAStream) {
  CheckResumption("contradict");
}

// Without IDs, the second runner started the stream again after the events of the first one.
BOOST_AUTO_TEST_CASE(StreamWithoutIdsIsNotStartedAgain) {
  const PlatformFleet fleet(1, 2);
  SetMode(fleet, 0, "cut_unnumbered");
  SetMode(fleet, 1, "cut_unnumbered");
  const std::string bytes = ReceiveStream(fleet);
  BOOST_TEST(!bytes.ends_with(kLastChunk));
  const size_t first = bytes.find("data: piece 1\n");
  BOOST_REQUIRE(first != std::string::npos);
  BOOST_TEST(bytes.find("data: piece 1\n", first + 1) == std::string::npos, bytes);
}

BOOST_AUTO_TEST_SUITE_END()
