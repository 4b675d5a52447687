#pragma once

namespace sequoia::soak {

//! Whether the process has a handler for the signal now. True as well when that cannot be read, so that an end by the
//! signal is never excused without evidence.
bool catchesSignal(int process, int number);

}
