// Proxies in front of the peer addresses of the processes, which deliver all bytes later. They stand for the links
// between the places of a deployment.
#pragma once

#include <string>

/// Accepts connections at `from` and forwards them to `to`, each way `delayMs` later. Returns false if `from` is in
/// use.
bool startDelay(const std::string& from, const std::string& to, int delayMs);
