#include "forwarding/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace papayafield::forwarding {

namespace {

/// Bucket bounds of the latency histograms in seconds, close together around the latency targets of
/// the routes.
const prometheus::Histogram::BucketBoundaries kLatencyBucketsSeconds = { 0.02, 0.05, 0.1, 0.2,
                                                                         0.3,  0.5,  0.8, 1.2,
                                                                         2.0,  3.0,  5.0, 10.0 };

prometheus::Histogram& MakeLatencyHistogram(prometheus::Registry& aRegistry,
                                            const std::string& aName,
                                            const std::string& aHelp) {
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(aRegistry).Add(
    {}, kLatencyBucketsSeconds);
}

} // namespace

struct Metrics::Impl {
  prometheus::Registry m_registry;
  prometheus::Family<prometheus::Counter>& m_answers = prometheus::BuildCounter()
                                                         .Name("papayafield_answers_total")
                                                         .Help("Calls ended, by status and reason.")
                                                         .Register(m_registry);
  prometheus::Family<prometheus::Counter>& m_events = prometheus::BuildCounter()
                                                        .Name("papayafield_events_total")
                                                        .Help("What has happened, by name.")
                                                        .Register(m_registry);
  prometheus::Family<prometheus::Gauge>& m_values = prometheus::BuildGauge()
                                                      .Name("papayafield_values")
                                                      .Help("Present values, by name.")
                                                      .Register(m_registry);
  prometheus::Histogram& m_firstByte = MakeLatencyHistogram(m_registry,
                                                            "papayafield_first_byte_seconds",
                                                            "Time to the first byte of an answer.");
  prometheus::Histogram& m_answerTime =
    MakeLatencyHistogram(m_registry, "papayafield_answer_seconds", "Time to the end of an answer.");
};

Metrics::Metrics()
  : m_impl(std::make_unique<Impl>()) {}

Metrics::~Metrics() = default;

void Metrics::CountAnswer(int aStatus, const std::string& aReason) {
  m_impl->m_answers.Add({ { "status", std::to_string(aStatus) }, { "reason", aReason } })
    .Increment();
}

void Metrics::Count(const std::string& aName, double aAmount) {
  m_impl->m_events.Add({ { "event", aName } }).Increment(aAmount);
}

void Metrics::Set(const std::string& aName, double aValue) {
  m_impl->m_values.Add({ { "value", aName } }).Set(aValue);
}

void Metrics::ObserveFirstByte(double aSeconds) {
  m_impl->m_firstByte.Observe(aSeconds);
}

void Metrics::ObserveAnswerTime(double aSeconds) {
  m_impl->m_answerTime.Observe(aSeconds);
}

std::string Metrics::Page() const {
  return prometheus::TextSerializer().Serialize(m_impl->m_registry.Collect());
}

} // namespace papayafield::forwarding
