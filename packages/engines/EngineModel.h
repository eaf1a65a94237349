#pragma once

#include "base/Time.h"
#include "fleet/EndpointDirectory.h"

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>

namespace papayafield::engines {

/// Priors, which hold until there are observations, and bounds of the learned values.
struct EngineModelSettings {
  /// Prompt tokens that an engine reads per millisecond (from the engines' data sheet).
  double m_prefillTokensPerMs = 56.9;
  /// Duration of a decoding step in milliseconds without requests, and what each running request
  /// adds to it (data sheet).
  double m_stepMs = 3.09;
  double m_stepMsPerCall = 0.102;
  /// Engine time per output token in milliseconds, at a batch of m_referenceBatch requests.
  double m_outputMsPerToken = 0.26;
  double m_referenceBatch = 20;
  /// Delay in milliseconds that each open call adds to a new call at an engine (data sheet: each
  /// request lengthens a step by 0.1 ms, and a prompt is read between about ten steps).
  double m_engineCallDelayMs = 2.0;
  /// Duration of a call of a plain service in milliseconds, and how many run concurrently: each
  /// open call adds 10 ms to a new one.
  double m_plainCallMs = 60.0;
  double m_plainConcurrency = 6.0;

  /// Learned values of a service stay between the prior divided and multiplied by this.
  double m_maxFactor = 4.0;
  /// The same for the duration of plain calls, which differs more between services.
  double m_maxPlainFactor = 10.0;
  /// Costs at one endpoint stay below this multiple of the prior; above the one of a service,
  /// since a single endpoint may be slowed down by its host.
  double m_maxEndpointFactor = 8.0;
  /// An endpoint is believed to be at most this many times as fast as its service. Endpoints of one
  /// service are up to 1.6 times as fast as their mean; what is faster is not plausible.
  double m_maxSpeedup = 2.0;
  /// Learned values within this fraction of the value that they would replace do not replace it, so
  /// that noise does not move calls between equal endpoints.
  double m_deadBand = 0.1;
  /// The same for plain calls in milliseconds: what the network and the event loops of both sides
  /// add to a call. Without it, an endpoint of calls of 1 ms gets no calls because a few of them
  /// took 6 ms.
  double m_plainNoiseMs = 5.0;
  /// Samples needed before a value is learned (more for plain calls, which differ in their work),
  /// and number of them that are kept for each value.
  size_t m_minSamples = 4;
  size_t m_minPlainSamples = 8;
  size_t m_maxSamples = 32;
  /// Samples of this age are used alone if there are m_minRecentSamples of them, so that changes of
  /// speed show within two seconds.
  base::Millis m_recentAge{ 1200 };
  size_t m_minRecentSamples = 8;
  /// Samples are forgotten after this time: an endpoint that gets no calls because it was slow is
  /// then expected to be as fast as its service again.
  base::Millis m_maxAge{ 10000 };
  /// If the latest samples of this number are all more than m_changeFactor times as slow as the
  /// value, the earlier ones do not count. Not applied to steps: a prompt that is read delays many
  /// of them in a row.
  size_t m_changeSamples = 2;
  /// The same for plain calls, whose durations differ more.
  size_t m_plainChangeSamples = 4;
  double m_changeFactor = 2.5;
  /// Prompts of fewer tokens are not used alone, since their time is mostly that of steps.
  double m_minPromptTokens = 400;
  /// Prompt tokens that an engine reads between two steps.
  double m_chunkTokens = 4000;
  /// Prompts that are read one after the other are measured together, until none is left or this
  /// time has passed.
  base::Millis m_maxReadSpan{ 200 };
  /// Minimum time between two computations of the estimates.
  base::Millis m_updateInterval{ 100 };
};

/// The first event of a stream.
struct FirstEvent {
  base::TimePoint m_sentAt;
  base::TimePoint m_at;
  /// Prompt tokens that the endpoint cannot have cached.
  double m_ownTokens = 0;
  /// Open calls at the endpoint when the call was sent, over all nodes.
  double m_openCalls = 0;
  /// Whether other calls of this node at the endpoint wait for their first event.
  bool m_othersWait = false;
};

/// What a value of the model tells.
enum class Quantity {
  /// Time to read a prompt token.
  Prefill,
  /// Time of a decoding step.
  Step,
  /// Time of a call at a plain service that runs no more calls than it can at once.
  PlainCall,
  /// What each open call adds to the time of a call at a plain service that runs as many as it can.
  PlainShare,
};

/// Learns how fast endpoints are from the answers that this node sees. Each value is a factor of
/// its prior. Queueing makes answers late but never early, so values are taken from the fastest
/// samples. An endpoint without enough samples has the values of its service, also before the model
/// knows of it. Those are the medians of the endpoints; a service without any has the priors. Not
/// thread safe.
class EngineModel {
public:
  explicit EngineModel(EngineModelSettings aSettings)
    : m_settings(aSettings) {}

  /// Records the first event of a stream. Only signed answers with status 2xx to the first attempt
  /// of a call may be recorded. The events of an endpoint must be recorded in the order of time.
  void RecordFirstEvent(const fleet::Endpoint& aEndpoint, const FirstEvent& aEvent);
  /// Records the time between two consecutive events of a stream.
  /// \param aTokens output tokens of the second event; at least 1.
  /// \param aOpenCalls open calls at the endpoint over all nodes, including this one.
  void RecordGap(const fleet::Endpoint& aEndpoint,
                 double aGapMs,
                 double aTokens,
                 double aOpenCalls,
                 base::TimePoint aNow);
  /// Records a call of a plain service that was answered with a status 2xx.
  /// \param aOpenCalls open calls at the endpoint over all nodes when this one had been sent,
  /// including it.
  void RecordPlainCall(const fleet::Endpoint& aEndpoint,
                       double aDurationMs,
                       double aOpenCalls,
                       base::TimePoint aNow);
  /// Computes the estimates from the samples that are not too old. Recording does so as well, at
  /// most once in each update interval.
  void Update(base::TimePoint aNow);
  /// Sets the known endpoints. Removes the state of others, of earlier incarnations, and of
  /// services without endpoints.
  void RetainEndpoints(const std::map<base::EndpointId, fleet::Endpoint>& aKnown);

  /// Returns the time in milliseconds to read `aTokens` prompt tokens at an endpoint.
  double ReadMs(const fleet::Endpoint& aEndpoint, double aTokens) const;
  /// Returns the delay in milliseconds that each open call adds to a new call at an endpoint.
  double CallDelayMs(const fleet::Endpoint& aEndpoint, bool aIsEngine) const;
  /// Returns the expected time in milliseconds until an endpoint begins with a new call.
  /// \param aCalls open calls at the endpoint.
  /// \param aPendingTokens prompt tokens of calls whose answer has not started.
  double QueueDelayMs(const fleet::Endpoint& aEndpoint,
                      bool aIsEngine,
                      double aCalls,
                      double aPendingTokens) const;
  /// Returns the expected time in milliseconds to the first byte of a new call with
  /// `aUncachedTokens`; the other parameters are those of QueueDelayMs.
  double FirstByteMs(const fleet::Endpoint& aEndpoint,
                     bool aIsEngine,
                     double aCalls,
                     double aPendingTokens,
                     double aUncachedTokens) const;

  /// Returns the engine time in milliseconds that a call of `aService` with `aPromptTokens`
  /// uncached prompt tokens and `aOutputTokens` output tokens takes.
  double WorkMs(const fleet::ServiceId& aService, double aPromptTokens, double aOutputTokens) const;
  /// Returns the prompt tokens that engines of `aService` read per millisecond.
  double PrefillTokensPerMs(const fleet::ServiceId& aService) const;
  /// Returns the engine time per output token of `aService` in milliseconds.
  double OutputMsPerToken(const fleet::ServiceId& aService) const;
  /// Returns the time of a decoding step of `aService` in milliseconds with `aRunning` requests.
  double StepMs(const fleet::ServiceId& aService, double aRunning) const;
  /// Returns the duration of a call of the plain service `aService` in milliseconds.
  double PlainCallMs(const fleet::ServiceId& aService) const;
  /// Returns how many calls an endpoint of the plain service `aService` runs concurrently.
  double PlainConcurrency(const fleet::ServiceId& aService) const;
  /// Returns whether a value of `aService` has been learned.
  bool IsLearned(const fleet::ServiceId& aService, Quantity aQuantity) const;
  /// Returns the number of endpoints with state.
  size_t EndpointCount() const { return m_endpoints.size(); }
  /// Returns the number of samples that were too fast to be plausible.
  size_t ImplausibleCount() const { return m_implausible; }

private:
  static constexpr size_t kQuantities = 4;

  /// A value as a factor of its prior.
  struct Sample {
    base::TimePoint m_at;
    double m_factor = 1;
    /// What the sample counts, relative to others of the same quantity.
    double m_weight = 1;
  };
  /// A time in which an endpoint read prompts of this node without a break.
  struct ReadSpan {
    base::TimePoint m_since;
    base::TimePoint m_until;
    double m_tokens = 0;
    /// Steps between the chunks of the prompts.
    double m_steps = 0;
    double m_openCalls = 0;
    /// Whether the endpoint was already reading for this node when the span began.
    bool m_continued = false;
    /// Whether no call waited at the end of the span.
    bool m_complete = false;
  };
  struct EndpointState {
    fleet::Endpoint m_endpoint;
    std::optional<ReadSpan> m_span;
    base::TimePoint m_lastStepAt{};
    std::array<std::deque<Sample>, kQuantities> m_samples;
    std::array<std::optional<double>, kQuantities> m_learned;
  };
  struct ServiceState {
    std::array<std::optional<double>, kQuantities> m_learned;
    /// Requests that an endpoint runs concurrently; 0 if not known.
    int m_slots = 0;
  };

  EndpointState& StateOf(const fleet::Endpoint& aEndpoint);
  void AddSample(EndpointState& aState, Quantity aQuantity, const Sample& aSample);
  void EndSpan(EndpointState& aState);
  void UpdateIfDue(base::TimePoint aNow);
  std::optional<double> FastFactor(const std::deque<Sample>& aSamples,
                                   Quantity aQuantity,
                                   base::TimePoint aNow) const;
  double ServiceFactor(const fleet::ServiceId& aService, Quantity aQuantity) const;
  const EndpointState* FindState(const fleet::Endpoint& aEndpoint) const;
  double EndpointFactor(const fleet::Endpoint& aEndpoint, Quantity aQuantity) const;
  double PlainShareMs(const fleet::ServiceId& aService) const;
  double PlainCapacity(const fleet::Endpoint& aEndpoint) const;
  double PriorStepMs(double aCalls, int aSlots) const;
  double MaxFactor(Quantity aQuantity) const;
  double DeadBand(double aReference, Quantity aQuantity) const;

  EngineModelSettings m_settings;
  std::map<base::EndpointId, EndpointState> m_endpoints;
  std::map<fleet::ServiceId, ServiceState> m_services;
  base::TimePoint m_updatedAt{};
  size_t m_implausible = 0;
};

} // namespace papayafield::engines
