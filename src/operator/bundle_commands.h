#pragma once
/// @file The commands around a bundle document: keygen, check, sign, approve, diff and roll.

#include <string>

#include "bundle/bundle.h"
#include "operator/platform_port.h"
#include "operator/report.h"

namespace crankspur {

/// Writes a new key pair to PREFIX.key (for its owner only) and PREFIX.pub.
ExitCode generateKeys(const std::string& prefix, Report& report);

/// Checks a document and prints every problem with its place.
ExitCode checkBundle(const std::string& path, Report& report);

/// Checks and signs a document as its author; writes PATH.author.sig.
ExitCode signBundleFile(const std::string& path, const std::string& key_path, Report& report);

/// Signs off a document that its author signed; writes PATH.approver.sig. Refuses the author's own key, and,
/// when `keys` names authors, an author's signature by none of them.
ExitCode approveBundleFile(const std::string& path, const std::string& key_path, const TrustedKeys& keys,
                           Report& report);

/// Prints what changes between two documents.
ExitCode diffBundleFiles(const std::string& before, const std::string& after, Report& report);

/// Rolls a document with both signatures after verifying them as every node will.
ExitCode rollBundleFile(const std::string& path, const TrustedKeys& keys, const std::string& rolled_by,
                        PlatformPort& platform, Report& report);

}  // namespace crankspur
