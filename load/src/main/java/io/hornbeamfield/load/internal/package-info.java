/** Profiles, open-loop sending and reports of the load tool. */
@NullMarked
package io.hornbeamfield.load.internal;

import org.jspecify.annotations.NullMarked;
