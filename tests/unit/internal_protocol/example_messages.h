#pragma once
/// @file One example of each message with its fields set, and a text representation to compare messages.

#include <string>
#include <vector>

#include "internal_protocol/messages.h"

namespace crankspur {

/// @return one message of each kind, in the order of the alternatives of Message.
std::vector<Message> exampleMessages();

/// @return the values of all fields as text.
std::string describe(const Message& message);

}  // namespace crankspur
