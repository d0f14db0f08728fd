/** Controllers that watch the platform's store and exchange tokens with other instances, on the control thread. */
@NullMarked
package io.hornbeamfield.entry.control;

import org.jspecify.annotations.NullMarked;
