#pragma once

#include "papayafieldctl/NodeClient.h"

/// \file
/// One function for each command. Each prints its result and gives the exit code.

namespace papayafield::papayafieldctl {

/// Checks the manifest in the file given.
ExitCode Validate(const Options& aOptions);
/// Makes the manifest in the file given the configuration in force.
ExitCode Apply(const Options& aOptions, const NodeClient& aClient);
/// Shows members and endpoints.
ExitCode Status(const Options& aOptions, const NodeClient& aClient);
/// Prints the manifest in force.
ExitCode ShowManifest(const Options& aOptions, const NodeClient& aClient);
/// Prints the merged time line of all nodes.
ExitCode Timeline(const Options& aOptions, const NodeClient& aClient);
/// Asks one node to drain.
ExitCode Drain(const Options& aOptions, const NodeClient& aClient);

} // namespace papayafield::papayafieldctl
