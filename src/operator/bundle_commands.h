#pragma once
/// @file Commands for bundle documents: keygen, check, sign, approve, diff and roll.

#include <string>

#include "bundle/bundle.h"
#include "operator/platform_port.h"
#include "operator/report.h"

namespace crankspur {

/// Writes a new key pair to PREFIX.key, readable by its owner only, and PREFIX.pub.
ExitCode generateKeys(const std::string& prefix, Report& report);

/// Validates a document and prints every error with its location.
ExitCode checkBundle(const std::string& path, Report& report);

/// Validates a document and signs it as its author; writes PATH.author.sig.
ExitCode signBundleFile(const std::string& path, const std::string& key_path, Report& report);

/// Signs a document, already signed by its author, as approver; writes PATH.approver.sig. Refuses the
/// author's own key and, if `keys` contains authors, a signature by any other author.
ExitCode approveBundleFile(const std::string& path, const std::string& key_path, const TrustedKeys& keys,
                           Report& report);

/// Prints the differences between two documents.
ExitCode diffBundleFiles(const std::string& before, const std::string& after, Report& report);

/// Rolls out a document after verifying both signatures in the same way as the nodes do.
ExitCode rollBundleFile(const std::string& path, const TrustedKeys& keys, const std::string& rolled_by,
                        PlatformPort& platform, Report& report);

}  // namespace crankspur
