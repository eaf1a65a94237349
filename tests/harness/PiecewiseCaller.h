#pragma once

#include "base/Ids.h"
#include "base/Time.h"

#include <string>
#include <string_view>

namespace papayafield::tests {

/// A caller that decides when each part of its request is sent. Blocks; not thread safe.
class PiecewiseCaller {
public:
  /// Connects to `aTo`.
  explicit PiecewiseCaller(const base::Address& aTo);
  ~PiecewiseCaller();
  PiecewiseCaller(const PiecewiseCaller&) = delete;
  PiecewiseCaller& operator=(const PiecewiseCaller&) = delete;
  PiecewiseCaller(PiecewiseCaller&&) = delete;
  PiecewiseCaller& operator=(PiecewiseCaller&&) = delete;

  /// Sends a part of a request. Returns false if the connection has failed.
  bool Send(std::string_view aPart) const;
  /// Receives one answer. Returns its status if it is complete; 0 if the connection ends before, or
  /// if the answer is not complete after `aTimeout`.
  int ReceiveStatus(base::Millis aTimeout = base::Millis(20000));
  /// Returns the body of the last complete answer, without the framing of chunks.
  const std::string& Body() const { return m_body; }

private:
  bool TakeAnswer();
  bool TakeChunks(size_t aBodyStart);

  int m_socket = -1;
  std::string m_input;
  std::string m_body;
  int m_status = 0;
};

} // namespace papayafield::tests
