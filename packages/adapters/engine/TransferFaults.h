#pragma once

#include "adapters/http/HttpTypes.h"
#include "requests/FaultTable.h"

namespace papayafield::adapters::engine {

/// Converts the fault of a transfer to the fault of the attempt that used it. `aAnswered` is true
/// if a part of the answer had been received. Thread safe.
constexpr requests::Fault FaultOf(http::TransferFault aFault, bool aAnswered) {
  switch (aFault) {
    case http::TransferFault::ConnectRefused:
    case http::TransferFault::ConnectTimedOut:
      return requests::Fault::NotConnected;
    case http::TransferFault::ResetBeforeAnswer:
    case http::TransferFault::InvalidAnswer:
      return requests::Fault::ResetBeforeAnswer;
    case http::TransferFault::AnswerTooLarge:
    case http::TransferFault::ResetInAnswer:
      return aAnswered ? requests::Fault::ResetInAnswer : requests::Fault::ResetBeforeAnswer;
    case http::TransferFault::ResponseTimedOut:
      break;
  }
  return requests::Fault::IdleTimeout;
}

} // namespace papayafield::adapters::engine
