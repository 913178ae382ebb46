#pragma once

#include <gflags/gflags_declare.h>

/// Flags shared by several subcommands.
DECLARE_bool(json);
DECLARE_string(entries);
DECLARE_string(request_id);
DECLARE_string(partner);
DECLARE_string(region);
DECLARE_uint32(timeout_ms);
