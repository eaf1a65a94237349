#include "engines/EngineModel.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <vector>

namespace papayafield::engines {

namespace {

/// The part of the samples that is taken for undisturbed. The others waited in a queue, or for the
/// calls of other nodes.
constexpr double kFastQuantile = 0.2;
/// Plain calls differ in their work, and only those are used that have not waited.
constexpr double kPlainQuantile = 0.5;
/// First events that are closer than this come from prompts that were read together.
constexpr base::Millis kSameStep{ 1 };
/// At most this part of a measured time is attributed to steps instead of reading.
constexpr double kMaxStepPart = 0.5;
double Millis(std::chrono::steady_clock::duration aDuration) {
  return std::chrono::duration<double, std::milli>(aDuration).count();
}

size_t Index(Quantity aQuantity) {
  return static_cast<size_t>(aQuantity);
}

bool IsPlain(Quantity aQuantity) {
  return aQuantity == Quantity::PlainCall || aQuantity == Quantity::PlainShare;
}

/// A value and its weight.
using Weighted = std::pair<double, double>;

/// Returns the value at the quantile `aQuantile` of `aValues`, which is not empty.
double QuantileOf(std::vector<Weighted> aValues, double aQuantile) {
  std::sort(aValues.begin(), aValues.end());
  double total = 0;
  for (const auto& [value, weight] : aValues) {
    total += weight;
  }
  double sum = 0;
  for (const auto& [value, weight] : aValues) {
    sum += weight;
    if (sum >= total * aQuantile) {
      return value;
    }
  }
  return aValues.back().first;
}

} // namespace

EngineModel::EndpointState& EngineModel::StateOf(const fleet::Endpoint& aEndpoint) {
  EndpointState& state = m_endpoints[aEndpoint.m_incarnation.m_endpoint];
  if (state.m_endpoint.m_incarnation != aEndpoint.m_incarnation ||
      state.m_endpoint.m_service != aEndpoint.m_service) {
    state = {};
  }
  state.m_endpoint = aEndpoint;
  return state;
}

void EngineModel::AddSample(EndpointState& aState, Quantity aQuantity, const Sample& aSample) {
  Sample sample = aSample;
  const double fastest = 1 / MaxFactor(aQuantity);
  if (sample.m_factor < fastest) {
    ++m_implausible;
    if (!IsPlain(aQuantity)) {
      return;
    }
    // Without the fast samples, a plain endpoint would be judged by its slow ones only.
    sample.m_factor = fastest;
  }
  auto& samples = aState.m_samples[Index(aQuantity)];
  samples.push_back(sample);
  if (samples.size() > m_settings.m_maxSamples) {
    samples.pop_front();
  }
}

double EngineModel::MaxFactor(Quantity aQuantity) const {
  return IsPlain(aQuantity) ? m_settings.m_maxPlainFactor : m_settings.m_maxFactor;
}

/// Returns the difference up to which a learned factor does not replace `aReference`.
double EngineModel::DeadBand(double aReference, Quantity aQuantity) const {
  const double noise =
    IsPlain(aQuantity) ? m_settings.m_plainNoiseMs / m_settings.m_plainCallMs : 0;
  return std::max(m_settings.m_deadBand * aReference, noise);
}

double EngineModel::PriorStepMs(double aCalls, int aSlots) const {
  const double running = aSlots > 0 ? std::min(aCalls, static_cast<double>(aSlots)) : aCalls;
  return m_settings.m_stepMs + m_settings.m_stepMsPerCall * running;
}

/// Makes a sample of the prompts that were read in the current span, and removes the span.
void EngineModel::EndSpan(EndpointState& aState) {
  const ReadSpan span = *aState.m_span;
  aState.m_span.reset();
  const double spanMs = Millis(span.m_until - span.m_since);
  // The first prompt after an incomplete span was read partly before it. This matters less the
  // longer the span is.
  if (span.m_tokens < m_settings.m_minPromptTokens ||
      (span.m_continued && spanMs < Millis(m_settings.m_maxReadSpan))) {
    return;
  }
  const double stepsMs = span.m_steps * PriorStepMs(span.m_openCalls, aState.m_endpoint.m_slots) *
                         EndpointFactor(aState.m_endpoint, Quantity::Step);
  const double readMs = spanMs - std::min(stepsMs, spanMs * kMaxStepPart);
  const double factor = readMs * m_settings.m_prefillTokensPerMs / span.m_tokens;
  AddSample(aState, Quantity::Prefill, { span.m_until, factor, span.m_tokens });
}

void EngineModel::RecordFirstEvent(const fleet::Endpoint& aEndpoint, const FirstEvent& aEvent) {
  EndpointState& state = StateOf(aEndpoint);
  auto& span = state.m_span;
  const bool sameStep = span && aEvent.m_at - span->m_until < kSameStep;
  if (span && span->m_complete && !sameStep) {
    EndSpan(state);
  }
  if (span && !sameStep && span->m_until - span->m_since >= m_settings.m_maxReadSpan) {
    const base::TimePoint until = span->m_until;
    EndSpan(state);
    span = ReadSpan{ until, until, 0, 0, aEvent.m_openCalls, true, false };
  }
  if (!span) {
    span = ReadSpan{ aEvent.m_sentAt, aEvent.m_at, 0, 0, aEvent.m_openCalls, false, false };
  } else if (!span->m_continued) {
    span->m_since = std::min(span->m_since, aEvent.m_sentAt);
  }
  span->m_until = std::max(span->m_until, aEvent.m_at);
  span->m_tokens += aEvent.m_ownTokens;
  span->m_steps += (sameStep ? 0 : 1) + std::floor(aEvent.m_ownTokens / m_settings.m_chunkTokens);
  span->m_complete = !aEvent.m_othersWait;
  UpdateIfDue(aEvent.m_at);
}

void EngineModel::RecordGap(const fleet::Endpoint& aEndpoint,
                            double aGapMs,
                            double aTokens,
                            double aOpenCalls,
                            base::TimePoint aNow) {
  EndpointState& state = StateOf(aEndpoint);
  // All streams of an endpoint show the same steps.
  if (Millis(aNow - state.m_lastStepAt) < aGapMs / 2) {
    return;
  }
  state.m_lastStepAt = aNow;
  const double factor =
    aGapMs / std::max(aTokens, 1.0) / PriorStepMs(aOpenCalls, aEndpoint.m_slots);
  AddSample(state, Quantity::Step, { aNow, factor });
  UpdateIfDue(aNow);
}

/// Returns how many calls a plain endpoint is taken to run concurrently before that is learned.
double EngineModel::PlainCapacity(const fleet::Endpoint& aEndpoint) const {
  return aEndpoint.m_slots > 0 ? aEndpoint.m_slots : m_settings.m_plainConcurrency;
}

void EngineModel::RecordPlainCall(const fleet::Endpoint& aEndpoint,
                                  double aDurationMs,
                                  double aOpenCalls,
                                  base::TimePoint aNow) {
  EndpointState& state = StateOf(aEndpoint);
  const double capacity = PlainCapacity(aEndpoint);
  const double factor = aDurationMs / m_settings.m_plainCallMs;
  if (aOpenCalls <= capacity) {
    AddSample(state, Quantity::PlainCall, { aNow, factor });
  }
  if (aOpenCalls >= capacity) {
    const double share = factor * m_settings.m_plainConcurrency / aOpenCalls;
    AddSample(state, Quantity::PlainShare, { aNow, share });
  }
  UpdateIfDue(aNow);
}

void EngineModel::UpdateIfDue(base::TimePoint aNow) {
  if (aNow - m_updatedAt >= m_settings.m_updateInterval) {
    Update(aNow);
  }
}

std::optional<double> EngineModel::FastFactor(const std::deque<Sample>& aSamples,
                                              Quantity aQuantity,
                                              base::TimePoint aNow) const {
  std::vector<Weighted> recent;
  std::vector<Weighted> all;
  for (const Sample& sample : aSamples) {
    if (aNow - sample.m_at <= m_settings.m_maxAge) {
      all.push_back({ sample.m_factor, sample.m_weight });
    }
    if (aNow - sample.m_at <= m_settings.m_recentAge) {
      recent.push_back({ sample.m_factor, sample.m_weight });
    }
  }
  const bool isPlain = IsPlain(aQuantity);
  if (all.size() < (isPlain ? m_settings.m_minPlainSamples : m_settings.m_minSamples)) {
    return std::nullopt;
  }
  const bool recentOnly = !isPlain && recent.size() >= m_settings.m_minRecentSamples;
  const auto& used = recentOnly ? recent : all;
  const double fast = QuantileOf(used, isPlain ? kPlainQuantile : kFastQuantile);
  const size_t changeSamples =
    isPlain ? m_settings.m_plainChangeSamples : m_settings.m_changeSamples;
  const auto count = static_cast<std::ptrdiff_t>(std::min(changeSamples, all.size()));
  const bool isSlower =
    std::all_of(aSamples.end() - count, aSamples.end(), [&](const Sample& aSample) {
      return aSample.m_factor > fast * m_settings.m_changeFactor;
    });
  if (aQuantity == Quantity::Step || !isSlower) {
    return fast;
  }
  return std::min_element(all.end() - count, all.end())->first;
}

void EngineModel::Update(base::TimePoint aNow) {
  m_updatedAt = aNow;
  std::map<fleet::ServiceId, std::array<std::vector<Weighted>, kQuantities>> factors;
  for (auto& [id, state] : m_endpoints) {
    if (state.m_span && state.m_span->m_complete && aNow - state.m_span->m_until >= kSameStep) {
      EndSpan(state);
    }
    for (size_t i = 0; i < kQuantities; ++i) {
      state.m_learned[i] = FastFactor(state.m_samples[i], static_cast<Quantity>(i), aNow);
      if (state.m_learned[i]) {
        factors[state.m_endpoint.m_service][i].push_back({ *state.m_learned[i], 1 });
      }
    }
  }
  const auto settle = [this](double aFactor, double aReference, Quantity aQuantity) {
    return std::abs(aFactor - aReference) <= DeadBand(aReference, aQuantity) ? aReference : aFactor;
  };
  for (auto& [service, lists] : factors) {
    for (size_t i = 0; i < kQuantities; ++i) {
      if (!lists[i].empty()) {
        const double median = QuantileOf(lists[i], 0.5);
        const auto quantity = static_cast<Quantity>(i);
        const double bound = MaxFactor(quantity);
        m_services[service].m_learned[i] =
          settle(std::clamp(median, 1 / bound, bound), 1.0, quantity);
      }
    }
  }
  for (auto& [id, state] : m_endpoints) {
    for (size_t i = 0; i < kQuantities; ++i) {
      if (state.m_learned[i]) {
        const auto quantity = static_cast<Quantity>(i);
        const double shared = ServiceFactor(state.m_endpoint.m_service, quantity);
        state.m_learned[i] =
          settle(std::clamp(*state.m_learned[i],
                            shared / m_settings.m_maxSpeedup,
                            std::max(m_settings.m_maxEndpointFactor, MaxFactor(quantity))),
                 shared,
                 quantity);
      }
    }
  }
}

void EngineModel::RetainEndpoints(const std::map<base::EndpointId, fleet::Endpoint>& aKnown) {
  std::erase_if(m_endpoints, [&](const auto& aEntry) { return !aKnown.contains(aEntry.first); });
  std::set<fleet::ServiceId> services;
  for (const auto& [id, endpoint] : aKnown) {
    StateOf(endpoint);
    services.insert(endpoint.m_service);
    if (endpoint.m_slots > 0) {
      m_services[endpoint.m_service].m_slots = endpoint.m_slots;
    }
  }
  std::erase_if(m_services, [&](const auto& aEntry) { return !services.contains(aEntry.first); });
}

double EngineModel::ServiceFactor(const fleet::ServiceId& aService, Quantity aQuantity) const {
  const auto found = m_services.find(aService);
  return found == m_services.end() ? 1.0 : found->second.m_learned[Index(aQuantity)].value_or(1.0);
}

/// Returns the state of an endpoint; null for an incarnation that is not known yet.
const EngineModel::EndpointState* EngineModel::FindState(const fleet::Endpoint& aEndpoint) const {
  const auto found = m_endpoints.find(aEndpoint.m_incarnation.m_endpoint);
  return found != m_endpoints.end() &&
             found->second.m_endpoint.m_incarnation == aEndpoint.m_incarnation
           ? &found->second
           : nullptr;
}

double EngineModel::EndpointFactor(const fleet::Endpoint& aEndpoint, Quantity aQuantity) const {
  const EndpointState* state = FindState(aEndpoint);
  const auto learned = state == nullptr ? std::nullopt : state->m_learned[Index(aQuantity)];
  return learned ? *learned : ServiceFactor(aEndpoint.m_service, aQuantity);
}

double EngineModel::ReadMs(const fleet::Endpoint& aEndpoint, double aTokens) const {
  return aTokens / m_settings.m_prefillTokensPerMs * EndpointFactor(aEndpoint, Quantity::Prefill);
}

double EngineModel::CallDelayMs(const fleet::Endpoint& aEndpoint, bool aIsEngine) const {
  if (aIsEngine) {
    return m_settings.m_engineCallDelayMs * EndpointFactor(aEndpoint, Quantity::Step);
  }
  const EndpointState* state = FindState(aEndpoint);
  if (state != nullptr && state->m_learned[Index(Quantity::PlainShare)]) {
    return m_settings.m_plainCallMs / m_settings.m_plainConcurrency *
           *state->m_learned[Index(Quantity::PlainShare)];
  }
  const fleet::ServiceId& service = aEndpoint.m_service;
  return PlainShareMs(service) * EndpointFactor(aEndpoint, Quantity::PlainCall) /
         ServiceFactor(service, Quantity::PlainCall);
}

double EngineModel::PlainShareMs(const fleet::ServiceId& aService) const {
  const Quantity quantity =
    IsLearned(aService, Quantity::PlainShare) ? Quantity::PlainShare : Quantity::PlainCall;
  return m_settings.m_plainCallMs / m_settings.m_plainConcurrency *
         ServiceFactor(aService, quantity);
}

double EngineModel::QueueDelayMs(const fleet::Endpoint& aEndpoint,
                                 bool aIsEngine,
                                 double aCalls,
                                 double aPendingTokens) const {
  return ReadMs(aEndpoint, aPendingTokens) + aCalls * CallDelayMs(aEndpoint, aIsEngine);
}

double EngineModel::FirstByteMs(const fleet::Endpoint& aEndpoint,
                                bool aIsEngine,
                                double aCalls,
                                double aPendingTokens,
                                double aUncachedTokens) const {
  return QueueDelayMs(
    aEndpoint, aIsEngine, aIsEngine ? aCalls : aCalls + 1, aPendingTokens + aUncachedTokens);
}

double EngineModel::WorkMs(const fleet::ServiceId& aService,
                           double aPromptTokens,
                           double aOutputTokens) const {
  return aPromptTokens / PrefillTokensPerMs(aService) + aOutputTokens * OutputMsPerToken(aService);
}

double EngineModel::PrefillTokensPerMs(const fleet::ServiceId& aService) const {
  return m_settings.m_prefillTokensPerMs / ServiceFactor(aService, Quantity::Prefill);
}

double EngineModel::OutputMsPerToken(const fleet::ServiceId& aService) const {
  if (!IsLearned(aService, Quantity::Step)) {
    return m_settings.m_outputMsPerToken;
  }
  // An engine with few slots divides its steps among fewer requests.
  const double reference = m_settings.m_referenceBatch;
  const int slots = m_services.at(aService).m_slots;
  const double batch = slots > 0 ? std::min(reference, static_cast<double>(slots)) : reference;
  const double ratio = (PriorStepMs(batch, 0) / batch) / (PriorStepMs(reference, 0) / reference);
  return m_settings.m_outputMsPerToken * ServiceFactor(aService, Quantity::Step) * ratio;
}

double EngineModel::StepMs(const fleet::ServiceId& aService, double aRunning) const {
  const auto found = m_services.find(aService);
  const int slots = found == m_services.end() ? 0 : found->second.m_slots;
  return PriorStepMs(aRunning, slots) * ServiceFactor(aService, Quantity::Step);
}

double EngineModel::PlainCallMs(const fleet::ServiceId& aService) const {
  return m_settings.m_plainCallMs * ServiceFactor(aService, Quantity::PlainCall);
}

double EngineModel::PlainConcurrency(const fleet::ServiceId& aService) const {
  return PlainCallMs(aService) / PlainShareMs(aService);
}

bool EngineModel::IsLearned(const fleet::ServiceId& aService, Quantity aQuantity) const {
  const auto found = m_services.find(aService);
  return found != m_services.end() && found->second.m_learned[Index(aQuantity)].has_value();
}

} // namespace papayafield::engines
