#include "adapters/peer/PeerServer.h"

#include "base/Digest.h"

#include <kj/debug.h>

namespace papayafield::adapters::peer {

namespace {

constexpr size_t kNonceBytes = 16;

/// The interface available to authenticated peers.
class PeerImpl final : public wire::Peer::Server {
public:
  explicit PeerImpl(const PeerHandlers& aHandlers)
    : m_handlers(aHandlers) {}

  kj::Promise<void> configuration(ConfigurationContext aContext) override {
    aContext.getResults().setText(m_handlers.m_configuration());
    return kj::READY_NOW;
  }

  kj::Promise<void> exchange(ExchangeContext aContext) override {
    m_handlers.m_exchange(aContext.getParams().getTable(), aContext.getResults().initTable());
    return kj::READY_NOW;
  }

  kj::Promise<void> claim(ClaimContext aContext) override {
    std::vector<claims::ClaimOrder> orders;
    for (const auto order : aContext.getParams().getOrders()) {
      orders.push_back(ReadOrder(order));
    }
    return m_handlers.m_claim(std::move(orders))
      .then([aContext](const std::vector<claims::ClaimReply>& aReplies) mutable {
        auto replies = aContext.getResults().initReplies(static_cast<unsigned>(aReplies.size()));
        for (size_t i = 0; i < aReplies.size(); ++i) {
          WriteReply(replies[static_cast<unsigned>(i)], aReplies[i]);
        }
      });
  }

  kj::Promise<void> done(DoneContext aContext) override {
    std::vector<std::string> keys;
    for (const auto key : aContext.getParams().getKeys()) {
      keys.emplace_back(key.begin(), key.size());
    }
    m_handlers.m_done(std::move(keys));
    return kj::READY_NOW;
  }

  kj::Promise<void> summary(SummaryContext aContext) override {
    aContext.getResults().setDigest(m_handlers.m_digest());
    return kj::READY_NOW;
  }

private:
  const PeerHandlers& m_handlers;
};

/// A challenge whose nonce is valid for a single answer.
class ChallengeImpl final : public wire::Challenge::Server {
public:
  ChallengeImpl(const PeerHandlers& aHandlers,
                const std::vector<std::string>& aKeys,
                std::string aNonce)
    : m_handlers(aHandlers)
    , m_keys(aKeys)
    , m_nonce(std::move(aNonce)) {}

  kj::Promise<void> answer(AnswerContext aContext) override {
    const auto text = aContext.getParams().getProof();
    const std::string proof(text.begin(), text.size());
    const std::string nonce = std::exchange(m_nonce, {});
    for (const std::string& key : m_keys) {
      if (!nonce.empty() && base::EqualConstantTime(proof, ComputeProof(nonce, key))) {
        aContext.getResults().setPeer(kj::heap<PeerImpl>(m_handlers));
        return kj::READY_NOW;
      }
    }
    KJ_FAIL_REQUIRE("the proof is wrong");
  }

private:
  const PeerHandlers& m_handlers;
  const std::vector<std::string>& m_keys;
  std::string m_nonce;
};

class GateImpl final : public wire::Gate::Server {
public:
  GateImpl(const PeerHandlers& aHandlers, const std::vector<std::string>& aKeys)
    : m_handlers(aHandlers)
    , m_keys(aKeys) {}

  kj::Promise<void> hello(HelloContext aContext) override {
    const std::string nonce = base::RandomHex(kNonceBytes);
    auto results = aContext.getResults();
    results.setVersion(wire::PROTOCOL_VERSION);
    results.setNonce(nonce);
    results.setChallenge(kj::heap<ChallengeImpl>(m_handlers, m_keys, nonce));
    return kj::READY_NOW;
  }

private:
  const PeerHandlers& m_handlers;
  const std::vector<std::string>& m_keys;
};

} // namespace

wire::Gate::Client MakeGate(const PeerHandlers& aHandlers, const std::vector<std::string>& aKeys) {
  return kj::heap<GateImpl>(aHandlers, aKeys);
}

std::string ComputeProof(const std::string& aNonce, const std::string& aKey) {
  return base::HmacHex(aKey, "enter|" + aNonce);
}

} // namespace papayafield::adapters::peer
