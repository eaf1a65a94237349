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
/// Data passed between callers, this node and endpoints, independent of its encoding on the wire.

namespace papayafield::forwarding {

/// A part of a prompt that several requests may share.
struct PromptPart {
  std::string m_id;
  double m_tokens = 0;
};

/// A call, decoded from the head of the caller's request.
struct CallInfo {
  /// ID of this try; a retry by the caller has another one.
  std::string m_id;
  std::string m_host;
  /// Path without the query.
  std::string m_path;
  /// The bearer key; empty if there is none.
  std::string m_key;
  /// How long the caller waits for the answer, if it states that.
  std::optional<base::Millis> m_callerTimeout;
  /// Number of prompt tokens and maximum number of output tokens; nullopt for calls without a
  /// model.
  std::optional<double> m_promptTokens;
  double m_maxOutputTokens = 0;
  /// Parts of the prompt in order; the last one belongs to this call or its session alone.
  std::vector<PromptPart> m_promptParts;
  /// ID of the event after which a broken stream is to be resumed; empty at the start of a stream.
  std::string m_lastEventId;
  /// ID of the caller's try that brought the first event of a stream that is to be resumed; empty
  /// if the caller does not state it.
  std::string m_resumedId;

  /// Returns the ID of the last shared prompt part, which related calls have in common; empty if no
  /// part is shared.
  std::string SharedPartId() const {
    return m_promptParts.size() >= 2 ? m_promptParts[m_promptParts.size() - 2].m_id : std::string();
  }
};

/// One attempt to run a call on one endpoint.
struct AttemptInfo {
  const adapters::http1::RequestHead& m_callerHead;
  /// The only incarnation of the endpoint that may run the call.
  base::EndpointId m_endpoint;
  base::TeamId m_team;
  /// Remaining time of the caller's timeout or the route's timeout, whichever is shorter.
  base::Millis m_timeLeft{ 0 };
  /// 0 is the highest priority.
  int m_priority = 0;
  /// Whether the endpoint is a model engine, which honours priorities.
  bool m_isEngine = false;
  /// ID of the event after which the stream resumes; empty at its start.
  std::string m_lastEventId;
};

/// Properties of an endpoint's answer, decoded from the head of the answer.
struct AnswerInfo {
  /// ID of the call as the endpoint repeats it; empty if it does not.
  std::string m_id;
  /// Whether the answer carries the endpoint's signature.
  bool m_signed = false;
  /// Whether the endpoint states that it has not run the call and will not run it.
  bool m_notExecuted = false;
  /// Whether the body is a stream of server-sent events.
  bool m_eventStream = false;
  /// How long the endpoint keeps an idle connection open, if it states that.
  std::optional<base::Millis> m_keepAlive;
  /// ID of the endpoint that answers, if it states that.
  std::string m_instance;
  /// Whether the endpoint states that it is about to stop.
  bool m_leaving = false;
  /// How long the endpoint wants no further calls from this node, if it states that.
  std::optional<base::Millis> m_retryAfter;
  /// Whether the answer contains such a time in a form that cannot be used.
  bool m_hasInvalidRetryAfter = false;
  /// Number of calls that the endpoint can reject per second for want of room without failing, if
  /// it states that.
  std::optional<int> m_rejectionTolerance;
  /// Whether the answer contains such a number in a form that cannot be used.
  bool m_hasInvalidTolerance = false;
};

/// Encoding of calls, attempts and answers on the wire.
struct WireFormat {
  std::function<CallInfo(const adapters::http1::RequestHead&)> m_decodeCall;
  std::function<adapters::http1::RequestHead(const AttemptInfo&)> m_encodeAttempt;
  std::function<AnswerInfo(const adapters::http1::ResponseHead&)> m_decodeAnswer;
  /// Name of the header field that returns the ID of a call to its caller.
  std::string m_idField;
  /// Names of the header fields of an answer that are meant for this node and not for callers.
  std::vector<std::string> m_hopFields;
};

} // namespace papayafield::forwarding
