#pragma once

#include "papayafieldctl/NodeClient.h"

/// \file
/// The commands of papayafieldctl. Each prints its result and returns the exit code.

namespace papayafield::papayafieldctl {

/// Validates the manifest in `Options::m_file`.
ExitCode Validate(const Options& aOptions);
/// Applies the manifest in `Options::m_file` as the new configuration.
ExitCode Apply(const Options& aOptions, const NodeClient& aClient);
/// Prints the members and endpoints that a node knows.
ExitCode Status(const Options& aOptions, const NodeClient& aClient);
/// Prints the active manifest.
ExitCode ShowManifest(const Options& aOptions, const NodeClient& aClient);
/// Prints the merged timeline of all nodes.
ExitCode Timeline(const Options& aOptions, const NodeClient& aClient);
/// Prints where a node would send a call now, and why.
ExitCode Explain(const Options& aOptions, const NodeClient& aClient);
/// Asks one node to drain.
ExitCode Drain(const Options& aOptions, const NodeClient& aClient);

} // namespace papayafield::papayafieldctl
