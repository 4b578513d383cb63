// Reads the settings of the decision module from JSON. The simulator's Attach message and the configuration
// file of a gateway contain the same settings object.
#pragma once

#include "fields.h"

namespace gateway::json {

// Reads the settings object. Unknown keys are ignored; missing optional keys keep the default of
// decision::Settings. Throws BadValue if a value is missing or malformed.
[[nodiscard]] decision::Settings read_settings(object members);

}  // namespace gateway::json
