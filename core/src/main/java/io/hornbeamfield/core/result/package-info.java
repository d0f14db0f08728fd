/** Result codes, refusals, and results that are either a value or a refusal. */
@NullMarked
package io.hornbeamfield.core.result;

import org.jspecify.annotations.NullMarked;
