#include "adapters/peer/WireCodec.h"

#include "base/Digest.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

namespace papayafield::adapters::peer {

namespace {

using membership::MemberRecord;

/// Length of the MAC at the start of a datagram, in hexadecimal digits.
constexpr size_t kMacLength = 32;

std::string ComputeMac(const std::string& aKey, std::string_view aContent) {
  return base::HmacHex(aKey, aContent).substr(0, kMacLength);
}

std::string ToString(capnp::Text::Reader aText) {
  return { aText.begin(), aText.size() };
}

void WriteMember(wire::Member::Builder aTo, const MemberRecord& aRecord) {
  const tasks::Member& member = aRecord.m_member;
  aTo.setNode(member.m_node.Text());
  aTo.setIncarnation(member.m_incarnation.Text());
  aTo.setZone(member.m_zone.Text());
  aTo.setCallers(member.m_callerAddress.ToText());
  aTo.setPeers(member.m_peerAddress.ToText());
  aTo.setState(static_cast<uint8_t>(member.m_state));
  aTo.setGeneration(member.m_generation);
  aTo.setNumber(aRecord.m_number);
}

std::optional<MemberRecord> ReadMember(wire::Member::Reader aFrom) {
  MemberRecord record;
  tasks::Member& member = record.m_member;
  member.m_node = base::NodeId(ToString(aFrom.getNode()));
  member.m_incarnation = base::IncarnationId(ToString(aFrom.getIncarnation()));
  member.m_zone = base::ZoneId(ToString(aFrom.getZone()));
  member.m_callerAddress = base::Address::Parse(ToString(aFrom.getCallers()));
  member.m_peerAddress = base::Address::Parse(ToString(aFrom.getPeers()));
  member.m_state = static_cast<tasks::MemberState>(aFrom.getState());
  member.m_generation = aFrom.getGeneration();
  record.m_number = aFrom.getNumber();
  if (member.m_node.Empty() || base::NameOf(member.m_state) == "?") {
    return std::nullopt;
  }
  return record;
}

std::optional<WireMessage> ParseContent(std::string_view aContent) {
  const auto bytes =
    kj::arrayPtr(reinterpret_cast<const kj::byte*>(aContent.data()), aContent.size());
  kj::ArrayInputStream stream(bytes);
  capnp::PackedMessageReader reader(stream);
  const auto root = reader.getRoot<wire::Message>();
  WireMessage wireMessage;
  membership::SwimMessage& message = wireMessage.m_message;
  constexpr uint8_t kMessageKindCount = 4;
  if (root.getKind() >= kMessageKindCount) {
    return std::nullopt;
  }
  message.m_kind = static_cast<membership::MessageKind>(root.getKind());
  message.m_sequence = root.getSequence();
  const auto sender = ReadMember(root.getSender());
  if (!sender) {
    return std::nullopt;
  }
  message.m_sender = *sender;
  message.m_target = base::Address::Parse(ToString(root.getTarget()));
  message.m_records = ReadMembers(root.getMembers());
  message.m_leaving = ReadLeaving(root.getLeaving());
  wireMessage.m_clock = { root.getClockWall(), root.getClockCount() };
  return wireMessage;
}

} // namespace

std::string EncodeDatagram(const WireMessage& aMessage, const std::string& aKey) {
  capnp::MallocMessageBuilder builder;
  auto root = builder.initRoot<wire::Message>();
  const membership::SwimMessage& message = aMessage.m_message;
  root.setVersion(wire::PROTOCOL_VERSION);
  root.setKind(static_cast<uint8_t>(message.m_kind));
  root.setSequence(message.m_sequence);
  WriteMember(root.initSender(), message.m_sender);
  root.setTarget(message.m_target.ToText());
  auto members = root.initMembers(static_cast<unsigned>(message.m_records.size()));
  for (size_t i = 0; i < message.m_records.size(); ++i) {
    WriteMember(members[static_cast<unsigned>(i)], message.m_records[i]);
  }
  auto leaving = root.initLeaving(static_cast<unsigned>(message.m_leaving.size()));
  for (size_t i = 0; i < message.m_leaving.size(); ++i) {
    leaving.set(static_cast<unsigned>(i), message.m_leaving[i].Text());
  }
  root.setClockWall(aMessage.m_clock.m_wallMs);
  root.setClockCount(aMessage.m_clock.m_logical);
  kj::VectorOutputStream stream;
  capnp::writePackedMessage(stream, builder);
  const auto bytes = stream.getArray();
  const std::string content(reinterpret_cast<const char*>(bytes.begin()), bytes.size());
  return ComputeMac(aKey, content) + content;
}

std::optional<WireMessage> DecodeDatagram(std::string_view aBytes,
                                          const std::vector<std::string>& aKeys) {
  if (aBytes.size() <= kMacLength) {
    return std::nullopt;
  }
  const std::string_view content = aBytes.substr(kMacLength);
  for (const std::string& key : aKeys) {
    if (base::EqualConstantTime(aBytes.substr(0, kMacLength), ComputeMac(key, content))) {
      std::optional<WireMessage> message;
      // Cap'n Proto reports malformed input by exceptions.
      kj::runCatchingExceptions([&] { message = ParseContent(content); });
      return message;
    }
  }
  return std::nullopt;
}

void WriteTable(wire::Table::Builder aTable,
                const std::vector<MemberRecord>& aMembers,
                const std::vector<base::EndpointId>& aLeaving) {
  auto members = aTable.initMembers(static_cast<unsigned>(aMembers.size()));
  for (size_t i = 0; i < aMembers.size(); ++i) {
    WriteMember(members[static_cast<unsigned>(i)], aMembers[i]);
  }
  auto leaving = aTable.initLeaving(static_cast<unsigned>(aLeaving.size()));
  for (size_t i = 0; i < aLeaving.size(); ++i) {
    leaving.set(static_cast<unsigned>(i), aLeaving[i].Text());
  }
}

std::vector<MemberRecord> ReadMembers(capnp::List<wire::Member>::Reader aMembers) {
  std::vector<MemberRecord> records;
  for (const auto member : aMembers) {
    if (const auto record = ReadMember(member)) {
      records.push_back(*record);
    }
  }
  return records;
}

std::vector<base::EndpointId> ReadLeaving(capnp::List<capnp::Text>::Reader aLeaving) {
  std::vector<base::EndpointId> leaving;
  for (const auto name : aLeaving) {
    leaving.emplace_back(ToString(name));
  }
  return leaving;
}

void WriteOrder(wire::ClaimOrder::Builder aTo, const claims::ClaimOrder& aOrder) {
  aTo.setKey(aOrder.m_key);
  aTo.setOwner(aOrder.m_owner.Text());
  aTo.setNumber(aOrder.m_number);
}

claims::ClaimOrder ReadOrder(wire::ClaimOrder::Reader aOrder) {
  return { ToString(aOrder.getKey()),
           base::IncarnationId(ToString(aOrder.getOwner())),
           aOrder.getNumber() };
}

void WriteReply(wire::ClaimReply::Builder aTo, const claims::ClaimReply& aReply) {
  WriteOrder(aTo.initOrder(), aReply.m_order);
  aTo.setState(static_cast<uint8_t>(aReply.m_state));
  aTo.setHolderOwner(aReply.m_holder.m_owner.Text());
  aTo.setHolderNumber(aReply.m_holder.m_number);
  aTo.setHolderDone(aReply.m_holder.m_done);
}

claims::ClaimReply ReadReply(wire::ClaimReply::Reader aReply) {
  claims::ClaimReply reply;
  reply.m_order = ReadOrder(aReply.getOrder());
  // Treat an unknown state as unavailable, since it proves nothing about the claim.
  reply.m_state = aReply.getState() <= static_cast<uint8_t>(claims::ClaimState::Unavailable)
                    ? static_cast<claims::ClaimState>(aReply.getState())
                    : claims::ClaimState::Unavailable;
  reply.m_holder.m_key = reply.m_order.m_key;
  reply.m_holder.m_owner = base::IncarnationId(ToString(aReply.getHolderOwner()));
  reply.m_holder.m_number = aReply.getHolderNumber();
  reply.m_holder.m_done = aReply.getHolderDone();
  return reply;
}

} // namespace papayafield::adapters::peer
