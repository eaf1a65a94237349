#include "gateway/Metrics.h"

#include "base/EnumNames.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace papayafield::base {

template<>
inline constexpr auto kEnumNames<gateway::Counter> = std::to_array<EnumName<gateway::Counter>>({
  { gateway::Counter::RequestsReceived, "papayafield_requests_taken_total" },
  { gateway::Counter::RequestsAnswered, "papayafield_requests_answered_total" },
  { gateway::Counter::RequestsRejected, "papayafield_requests_refused_total" },
  { gateway::Counter::Attempts, "papayafield_attempts_total" },
  { gateway::Counter::Retries, "papayafield_retries_total" },
  { gateway::Counter::StreamsResumed, "papayafield_streams_resumed_total" },
  { gateway::Counter::StreamsMoved, "papayafield_streams_moved_total" },
  { gateway::Counter::TokensRelayed, "papayafield_tokens_relayed_total" },
  { gateway::Counter::ClaimsRequested, "papayafield_claims_asked_total" },
  { gateway::Counter::TokensRecomputed, "papayafield_tokens_recomputed_total" },
});

template<>
inline constexpr auto kEnumNames<gateway::DurationMetric> =
  std::to_array<EnumName<gateway::DurationMetric>>({
    { gateway::DurationMetric::FirstToken, "papayafield_first_token_seconds" },
    { gateway::DurationMetric::TokenGap, "papayafield_token_gap_seconds" },
    { gateway::DurationMetric::QueueWait, "papayafield_queue_wait_seconds" },
  });

} // namespace papayafield::base

namespace papayafield::gateway {

namespace {

const prometheus::Histogram::BucketBoundaries kSecondsBuckets{ 0.005, 0.01, 0.02, 0.04, 0.08,
                                                               0.16,  0.32, 0.64, 1.0,  1.8,
                                                               3.6,   7.2,  15,   30 };

} // namespace

struct Metrics::Impl {
  prometheus::Registry m_registry;
  std::array<prometheus::Counter*, base::kEnumNames<Counter>.size()> m_counters{};
  std::array<prometheus::Histogram*, base::kEnumNames<DurationMetric>.size()> m_histograms{};
  prometheus::Gauge* m_openRequests = nullptr;
};

Metrics::Metrics()
  : m_impl(std::make_unique<Impl>()) {
  for (const auto& row : base::kEnumNames<Counter>) {
    m_impl->m_counters[static_cast<size_t>(row.m_value)] = &prometheus::BuildCounter()
                                                              .Name(std::string(row.m_name))
                                                              .Register(m_impl->m_registry)
                                                              .Add({});
  }
  for (const auto& row : base::kEnumNames<DurationMetric>) {
    m_impl->m_histograms[static_cast<size_t>(row.m_value)] = &prometheus::BuildHistogram()
                                                                .Name(std::string(row.m_name))
                                                                .Register(m_impl->m_registry)
                                                                .Add({}, kSecondsBuckets);
  }
  m_impl->m_openRequests = &prometheus::BuildGauge()
                              .Name("papayafield_requests_open")
                              .Register(m_impl->m_registry)
                              .Add({});
}

Metrics::~Metrics() = default;

void Metrics::Add(Counter aCounter, double aAmount) {
  m_impl->m_counters[static_cast<size_t>(aCounter)]->Increment(aAmount);
}

void Metrics::Observe(DurationMetric aMetric, double aSeconds) {
  m_impl->m_histograms[static_cast<size_t>(aMetric)]->Observe(aSeconds);
}

void Metrics::SetOpenRequests(double aCount) {
  m_impl->m_openRequests->Set(aCount);
}

std::string Metrics::ToPrometheusText() const {
  return prometheus::TextSerializer().Serialize(m_impl->m_registry.Collect());
}

} // namespace papayafield::gateway
