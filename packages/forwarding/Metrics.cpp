#include "forwarding/Metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace papayafield::forwarding {

namespace {

/// Bucket bounds of the latency histograms in seconds, close together around the latency goals of
/// the routes.
const prometheus::Histogram::BucketBoundaries kSeconds = { 0.02, 0.05, 0.1, 0.2, 0.3, 0.5,
                                                           0.8,  1.2,  2.0, 3.0, 5.0, 10.0 };

prometheus::Histogram& Latency(prometheus::Registry& aRegistry,
                               const std::string& aName,
                               const std::string& aHelp) {
  return prometheus::BuildHistogram().Name(aName).Help(aHelp).Register(aRegistry).Add({}, kSeconds);
}

} // namespace

struct Metrics::Parts {
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
  prometheus::Histogram& m_firstByte =
    Latency(m_registry, "papayafield_first_byte_seconds", "Time to the first byte of an answer.");
  prometheus::Histogram& m_whole =
    Latency(m_registry, "papayafield_answer_seconds", "Time to the end of an answer.");
};

Metrics::Metrics()
  : m_parts(std::make_unique<Parts>()) {}

Metrics::~Metrics() = default;

void Metrics::CountAnswer(int aStatus, const std::string& aReason) {
  m_parts->m_answers.Add({ { "status", std::to_string(aStatus) }, { "reason", aReason } })
    .Increment();
}

void Metrics::Count(const std::string& aName, double aAmount) {
  m_parts->m_events.Add({ { "event", aName } }).Increment(aAmount);
}

void Metrics::Set(const std::string& aName, double aValue) {
  m_parts->m_values.Add({ { "value", aName } }).Set(aValue);
}

void Metrics::ObserveFirstByte(double aSeconds) {
  m_parts->m_firstByte.Observe(aSeconds);
}

void Metrics::ObserveWhole(double aSeconds) {
  m_parts->m_whole.Observe(aSeconds);
}

std::string Metrics::Page() const {
  return prometheus::TextSerializer().Serialize(m_parts->m_registry.Collect());
}

} // namespace papayafield::forwarding
