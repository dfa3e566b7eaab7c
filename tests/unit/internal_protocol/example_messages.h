#pragma once
/// @file One example of each message with every field set, and a text form to compare messages by.

#include <string>
#include <vector>

#include "internal_protocol/messages.h"

namespace crankspur {

/// @return one message of each kind, in the order of Message.
std::vector<Message> exampleMessages();

/// @return the values of all fields.
std::string describe(const Message& message);

}  // namespace crankspur
