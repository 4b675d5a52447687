#pragma once

#include "Fleet.h"
#include "runtime/Program.h"

namespace sequoia::ctl {

//! Runs one command; results go to standard output, errors to standard error.
runtime::ExitCode runCommand(const operatorcli::Invocation& invocation);

}
