#include "base/Digest.h"
#include "tests/harness/PlatformFleet.h"
#include "tests/harness/RawCaller.h"

#include <boost/test/unit_test.hpp>

#include <map>
#include <optional>
#include <thread>

/// \file
/// Tests that an answer which a runner cuts off at any byte is not passed on as a complete one.

using namespace papayafield;
using namespace papayafield::tests;

namespace {

constexpr base::Millis kTimeout{ 10000 };
constexpr std::string_view kSignature = "Papayafield-Response-Signature: signed-by-";

struct RouteCase {
  const char* m_method;
  const char* m_path;
  bool m_mayRepeat;
};

const RouteCase kRoutes[] = {
  { "GET", "/safe/a", true },
  { "POST", "/once/a", false },
  { "POST", "/stream/a", true },
};

struct Cut {
  const RouteCase* m_route;
  std::string m_framing;
  std::string m_end;
  size_t m_length;

  std::string Target() const {
    return std::string(m_route->m_path) + "?framing=" + m_framing + "&end=" + m_end +
           "&cut=" + std::to_string(m_length);
  }
};

/// A call whose answer was cut.
struct CutCall {
  Cut m_cut;
  std::string m_id;
  RawAnswer m_answer;
};

/// Calls `aTarget` at node `aNode` on a connection of its own.
RawAnswer CallOnce(const PlatformFleet& aFleet,
                   size_t aNode,
                   const RouteCase& aRoute,
                   const std::string& aTarget,
                   const std::string& aId) {
  RawCaller caller(aFleet.CallerAddress(aNode));
  caller.Send(MakeRawRequest(aRoute.m_method, aTarget, aId, kTimeout));
  return caller.Receive(kTimeout);
}

bool IsStream(const RouteCase& aRoute) {
  return std::string_view(aRoute.m_path).starts_with("/stream/");
}

/// Returns the body of a runner's whole answer.
std::string WholeBody(const RouteCase& aRoute) {
  return IsStream(aRoute) ? "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"
                          : "answer to " + std::string(aRoute.m_path);
}

/// Returns the number of bytes of a runner's head and of its whole answer.
std::pair<size_t, size_t> AnswerSize(const RouteCase& aRoute, const std::string& aFraming) {
  // The attempt id has 16 characters; the runners' names have equal lengths.
  std::string head = "HTTP/1.1 200 OK\r\nPapayafield-Attempt-Id: 0123456789abcdef\r\n" +
                     std::string(kSignature) + "i-0\r\n";
  size_t body = WholeBody(aRoute).size();
  if (IsStream(aRoute)) {
    head += "Content-Type: text/event-stream\r\n";
  }
  if (aFraming == "length") {
    head += "Content-Length: " + std::to_string(body) + "\r\n";
  } else if (aFraming == "chunks") {
    head += "Transfer-Encoding: chunked\r\n";
    body += std::string("2a\r\n\r\n0\r\n\r\n").size();
  }
  return { head.size() + 2, head.size() + 2 + body };
}

/// Returns every cut: after each byte but the last.
std::vector<Cut> AllCuts() {
  std::vector<Cut> cuts;
  for (const RouteCase& route : kRoutes) {
    for (const char* framing : { "length", "chunks", "none" }) {
      const size_t whole = AnswerSize(route, framing).second;
      for (const char* end : { "fin", "reset" }) {
        for (size_t length = 0; length < whole; ++length) {
          cuts.push_back({ &route, framing, end, length });
        }
      }
    }
  }
  return cuts;
}

/// Runs of each call, by its id.
std::map<std::string, std::vector<nlohmann::json>> RunsByCall(const PlatformFleet& aFleet) {
  std::map<std::string, std::vector<nlohmann::json>> runs;
  const nlohmann::json report = aFleet.PostControl("report");
  for (const nlohmann::json& run : report.at("runs")) {
    runs[run.at("call").get<std::string>()].push_back(run);
  }
  return runs;
}

/// Makes calls with all cuts, each node its share. With `aOnKeptConnection`, a whole answer comes
/// before each cut one, so that the node has an open connection to a runner.
std::vector<CutCall> MakeCutCalls(const PlatformFleet& aFleet,
                                  size_t aNodes,
                                  bool aOnKeptConnection) {
  const std::vector<Cut> cuts = AllCuts();
  std::vector<CutCall> calls(cuts.size());
  std::vector<std::thread> threads;
  for (size_t node = 0; node < aNodes; ++node) {
    threads.emplace_back([&, node] {
      for (size_t i = node; i < cuts.size(); i += aNodes) {
        if (aOnKeptConnection) {
          CallOnce(aFleet, node, kRoutes[1], "/once/before", base::RandomHex(8));
        }
        const std::string id = base::RandomHex(8);
        calls[i] = { cuts[i], id, CallOnce(aFleet, node, *cuts[i].m_route, cuts[i].Target(), id) };
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  return calls;
}

/// Returns the body of an answer that was cut so and is complete nevertheless: one without a length
/// ends with its connection. A stream also needs whole events.
std::optional<std::string> BodyCompletedByEnd(const Cut& aCut) {
  const size_t head = AnswerSize(*aCut.m_route, aCut.m_framing).first;
  if (aCut.m_framing != "none" || aCut.m_end != "fin" || aCut.m_length < head) {
    return std::nullopt;
  }
  std::string body = WholeBody(*aCut.m_route).substr(0, aCut.m_length - head);
  if (IsStream(*aCut.m_route) && !body.ends_with("\n\n")) {
    return std::nullopt;
  }
  return body;
}

void CheckCutCalls(bool aOnKeptConnection) {
  constexpr size_t kNodes = 4;
  const PlatformFleet fleet(kNodes, 2);
  const std::vector<CutCall> calls = MakeCutCalls(fleet, kNodes, aOnKeptConnection);
  const auto runs = RunsByCall(fleet);
  size_t ran = 0;
  size_t onExpectedConnection = 0;
  std::map<std::string, size_t> outcomes;
  for (const CutCall& call : calls) {
    const RawAnswer& answer = call.m_answer;
    const auto found = runs.find(call.m_id);
    const size_t runCount = found == runs.end() ? 0 : found->second.size();
    ran += runCount > 0 ? 1 : 0;
    if (runCount > 0 && found->second.front().at("reused") == aOnKeptConnection) {
      ++onExpectedConnection;
    }
    ++outcomes[std::to_string(answer.m_status) + " " + std::string(base::NameOf(answer.m_end))];
    BOOST_TEST_CONTEXT(call.m_cut.m_route->m_method
                       << " " << call.m_cut.Target() << ": " << answer.m_head << " | "
                       << answer.m_body << " | " << base::NameOf(answer.m_end) << ", " << runCount
                       << " runs") {
      if (answer.m_status / 100 == 2) {
        BOOST_TEST((answer.m_head.find(kSignature) != std::string::npos));
      }
      BOOST_TEST((!answer.LooksServed() || BodyCompletedByEnd(call.m_cut) == answer.m_body));
      BOOST_TEST((!answer.SaysNotRun() || runCount == 0));
      BOOST_TEST((answer.m_end == AnswerEnd::Complete || answer.m_status == 200));
      BOOST_TEST(runCount <= (call.m_cut.m_route->m_mayRepeat ? 2U : 1U));
    }
  }
  for (const auto& [outcome, count] : outcomes) {
    BOOST_TEST_MESSAGE(outcome << ": " << count);
  }
  BOOST_TEST_MESSAGE(calls.size() << " calls, " << ran << " ran, " << onExpectedConnection
                                  << " of them first on the expected kind of connection");
  BOOST_TEST(ran > calls.size() * 9 / 10);
  BOOST_TEST(onExpectedConnection > ran * 3 / 4);
}

} // namespace

BOOST_AUTO_TEST_SUITE(TruncatedHeadsTest)

// An answer is passed on whole if it is not cut: the sizes that this test assumes are right.
BOOST_AUTO_TEST_CASE(WholeAnswersArePassedOn) {
  const PlatformFleet fleet(1, 1);
  for (const RouteCase& route : kRoutes) {
    for (const char* framing : { "length", "chunks", "none" }) {
      const size_t whole = AnswerSize(route, framing).second;
      for (const size_t length : { whole, whole - 1 }) {
        const Cut cut{ &route, framing, "reset", length };
        const RawAnswer answer = CallOnce(fleet, 0, route, cut.Target(), base::RandomHex(8));
        const bool isWhole = length == whole && std::string_view(framing) != "none";
        BOOST_TEST(answer.LooksServed() == isWhole, cut.Target() << ": " << answer.m_head);
      }
    }
  }
}

// Callers got a 200 with an empty or short body, framed as a whole one, after a runner had ended
// the connection in the middle of its answer's head (report of another operator).
BOOST_AUTO_TEST_CASE(AnswerCutOnANewConnectionIsNotPassedOnAsComplete) {
  CheckCutCalls(false);
}

BOOST_AUTO_TEST_CASE(AnswerCutOnAKeptConnectionIsNotPassedOnAsComplete) {
  CheckCutCalls(true);
}

BOOST_AUTO_TEST_SUITE_END()
