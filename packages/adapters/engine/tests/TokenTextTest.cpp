#include "adapters/engine/EngineClient.h"

#include <boost/test/unit_test.hpp>

using papayafield::adapters::engine::TokenText;

BOOST_AUTO_TEST_SUITE(TokenTextTest)

BOOST_AUTO_TEST_CASE(ReturnsTheTextOfEachFormat) {
  struct Case {
    const char* m_data;
    const char* m_text;
  };
  const Case cases[] = {
    { R"({"choices":[{"index":0,"delta":{"content":"hello "}}]})", "hello " },
    { R"({"choices":[{"index":0,"delta":{"content":""}}]})", "" },
    { R"({"choices":[{"delta":{"content":"a \"b\" \n"}}]})", "a \"b\" \n" },
    { R"({"choices":[{"delta":{"role":"assistant","content":"x"}}]})", "x" },
    { R"({"choices": [ {"delta": {"content" : "spaced"} } ]})", "spaced" },
    { R"({"choices":[{"index":0,"text":"plain"}]})", "plain" },
    { R"({"choices":[{"delta":{"content":"say \"delta\":{\"content\":\"no\""}}]})",
      "say \"delta\":{\"content\":\"no\"" },
    { R"({"choices":[{"delta":{},"finish_reason":"stop"}]})", "" },
    { R"({"choices":[{"text":"y","logprobs":{"text":"n"}}]})", "y" },
    { R"({"choices":[]})", "" },
    { "nonsense", "" },
    { "", "" },
  };
  for (const Case& testCase : cases) {
    BOOST_TEST(TokenText(testCase.m_data) == testCase.m_text, testCase.m_data);
  }
}

BOOST_AUTO_TEST_SUITE_END()
