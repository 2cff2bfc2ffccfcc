#pragma once

#include <filbertmount/claims/claimtypes.h>
