// Reads the settings object, which the simulator's Attach message and a gateway's configuration file share,
// into the decision module's Settings.
#pragma once

#include "fields.h"

namespace gateway::json {

// Throws BadValue. Unknown keys are ignored; absent optional ones keep the default of decision::Settings.
[[nodiscard]] decision::Settings read_settings(object members);

}  // namespace gateway::json
