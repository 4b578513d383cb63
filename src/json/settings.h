// The settings object that the simulator and a real gateway's configuration share, read into the module's
// type.
#pragma once

#include "fields.h"

namespace gateway::json {

// Throws BadValue. Unknown keys are ignored, absent optional ones keep their default.
decision::Settings read_settings(object o);

}  // namespace gateway::json
