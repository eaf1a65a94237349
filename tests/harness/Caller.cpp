#include "tests/harness/Caller.h"

#include "requests/SseReader.h"
#include "standins/engine/AnswerText.h"

#include <thread>

namespace papayafield::tests {

namespace {

constexpr base::Millis kTimeout{ 60000 };
constexpr base::Millis kPollInterval{ 10 };

adapters::http::HttpRequest MakeRequest(const base::Address& aTo,
                                        const std::string& aMethod,
                                        const std::string& aTarget,
                                        const std::string& aBody,
                                        const adapters::http::Headers& aHeaders) {
  adapters::http::HttpRequest request;
  request.m_to = aTo;
  request.m_method = aMethod;
  request.m_target = aTarget;
  request.m_body = aBody;
  request.m_headers = aHeaders;
  request.m_idleTimeout = kTimeout;
  return request;
}

nlohmann::json MakeChatBody(const std::string& aPrompt, uint64_t aTokens) {
  return { { "model", "condolence" },
           { "stream", true },
           { "max_tokens", aTokens },
           { "messages", { { { "role", "user" }, { "content", aPrompt } } } } };
}

} // namespace

CallerAnswer Call(const base::Address& aTo,
                  const std::string& aMethod,
                  const std::string& aTarget,
                  const std::string& aBody,
                  const adapters::http::Headers& aHeaders) {
  const auto answer =
    adapters::http::FetchBlocking(MakeRequest(aTo, aMethod, aTarget, aBody, aHeaders));
  if (!answer) {
    return {};
  }
  return { answer->m_status,
           answer->m_body,
           answer->m_headers.Find("X-Outcome").value_or(""),
           answer->m_headers };
}

CallerAnswer CallAs(const std::string& aKey,
                    const base::Address& aTo,
                    const std::string& aMethod,
                    const std::string& aTarget,
                    const std::string& aBody,
                    const std::string& aIdempotencyKey) {
  adapters::http::Headers headers{ { "Authorization", "Bearer " + aKey } };
  if (!aIdempotencyKey.empty()) {
    headers.Add("Idempotency-Key", aIdempotencyKey);
  }
  return Call(aTo, aMethod, aTarget, aBody, headers);
}

Stream Generate(const base::Address& aTo,
                const std::string& aPrompt,
                uint64_t aTokens,
                const std::function<bool(size_t)>& aOnToken,
                const Stream* aAfter,
                const std::string& aKey) {
  Stream stream;
  nlohmann::json body = MakeChatBody(aPrompt, aTokens);
  adapters::http::Headers headers{ { "Authorization", "Bearer " + aKey } };
  if (aAfter != nullptr) {
    stream = *aAfter;
    headers.Add("Last-Event-ID", aAfter->m_lastId);
    body["text_so_far"] = aAfter->m_text;
  }
  requests::SseReader reader;
  const auto onPart = [&](std::string_view aPart) {
    for (const requests::SseEvent& event : reader.Feed(aPart)) {
      if (!event.m_type.empty()) {
        stream.m_type = event.m_type;
      } else if (event.m_data == "[DONE]") {
        stream.m_complete = true;
      } else {
        const auto token = base::ParseJson(event.m_data);
        stream.m_text += token["choices"][0]["delta"].value("content", std::string());
        stream.m_lastId = event.m_id;
        ++stream.m_tokens;
        if (aOnToken && !aOnToken(stream.m_tokens)) {
          return false;
        }
      }
    }
    return true;
  };
  const auto answer = adapters::http::StreamBlocking(
    MakeRequest(aTo, "POST", "/v1/chat/completions", base::DumpJson(body), headers), onPart);
  stream.m_status = answer ? answer->m_status : 0;
  stream.m_body = answer ? answer->m_body : "";
  return stream;
}

std::string ExpectedText(const std::string& aPrompt, uint64_t aTokens) {
  return standins::AnswerText(standins::ExtractPrompt(MakeChatBody(aPrompt, aTokens)), aTokens);
}

bool Eventually(const std::function<bool()>& aCondition) {
  const auto until = std::chrono::steady_clock::now() + kTimeout;
  while (!aCondition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

} // namespace papayafield::tests
