/** Finds parts of prompts that crash backend servers, from the crashes that all instances have seen. */
@NullMarked
package io.hornbeamfield.core.quarantine;

import org.jspecify.annotations.NullMarked;
