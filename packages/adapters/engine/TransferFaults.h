#pragma once

#include "adapters/http/HttpTypes.h"
#include "requests/FaultTable.h"

namespace papayafield::adapters::engine {

/// What a failed transfer means for the attempt that it carried; `aAnswered` says whether a part of
/// the answer had come. Thread safe.
constexpr requests::Fault FaultOf(http::TransferFault aFault, bool aAnswered) {
  switch (aFault) {
    case http::TransferFault::ConnectRefused:
    case http::TransferFault::ConnectTimedOut:
      return requests::Fault::NotConnected;
    case http::TransferFault::ResetBeforeAnswer:
      return requests::Fault::ResetBeforeAnswer;
    case http::TransferFault::ResetInAnswer:
      return aAnswered ? requests::Fault::ResetInAnswer : requests::Fault::ResetBeforeAnswer;
    case http::TransferFault::Silent:
      break;
  }
  return requests::Fault::IdleTimeout;
}

} // namespace papayafield::adapters::engine
