#pragma once

#include "adapters/http1/Head.h"
#include "base/Time.h"
#include "fleet/Catalog.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// \file
/// What travels between callers, this node and endpoints, apart from how it is spelled.

namespace papayafield::forwarding {

/// A part of a prompt that requests may share.
struct PromptPart {
  std::string m_id;
  double m_tokens = 0;
};

/// What a caller asks for, decoded from its request's head.
struct CallInfo {
  /// Names this try of the caller; a caller's retry has another one.
  std::string m_id;
  std::string m_host;
  /// Path without the query.
  std::string m_path;
  /// The bearer key; empty when there is none.
  std::string m_key;
  /// How long the caller waits.
  std::optional<base::Millis> m_patience;
  /// Prompt tokens and the most output tokens; nothing for calls without a model.
  std::optional<double> m_promptTokens;
  double m_outputTokens = 0;
  /// The prompt's parts in order; the last belongs to this call alone or to its session.
  std::vector<PromptPart> m_parts;
  /// Where a broken stream is to go on; empty at its start.
  std::string m_lastEventId;

  /// What calls about the same matter have in common; empty when nothing is shared.
  std::string Subject() const {
    return m_parts.size() >= 2 ? m_parts[m_parts.size() - 2].m_id : std::string();
  }
};

/// One send of a call to one endpoint.
struct Attempt {
  const adapters::http1::RequestHead& m_callerHead;
  /// The one life of the endpoint that may run the call.
  base::EndpointId m_endpoint;
  base::TeamId m_team;
  /// What is left of the caller's patience and the route's timeout.
  base::Millis m_timeLeft{ 0 };
  /// 0 is the most urgent.
  int m_priority = 0;
  /// Whether the endpoint is a model engine, which heeds priorities.
  bool m_isEngine = false;
  /// Where a stream goes on; empty at its start.
  std::string m_lastEventId;
};

/// What an endpoint says about its answer, decoded from the answer's head.
struct AnswerInfo {
  /// The call's id as the endpoint repeats it; empty when it does not.
  std::string m_id;
  /// Whether the answer bears the endpoint's signature.
  bool m_signed = false;
  /// The endpoint states that it did not run the call, and will not.
  bool m_notExecuted = false;
  /// Whether the body is a stream of events.
  bool m_eventStream = false;
  /// How long the endpoint keeps an idle connection, when it says so.
  std::optional<base::Millis> m_keepAlive;
};

/// How calls, attempts and answers are spelled on the wire.
struct WireFormat {
  std::function<CallInfo(const adapters::http1::RequestHead&)> m_decodeCall;
  std::function<adapters::http1::RequestHead(const Attempt&)> m_encodeAttempt;
  std::function<AnswerInfo(const adapters::http1::ResponseHead&)> m_decodeAnswer;
  /// The field that repeats a call's id towards its caller.
  std::string m_idField;
};

} // namespace papayafield::forwarding
