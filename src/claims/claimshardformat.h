#pragma once

// Generated code is exempt from the linter's rules, as a system header is.
#pragma GCC system_header

#include "generated/claimshard.pb.h"
