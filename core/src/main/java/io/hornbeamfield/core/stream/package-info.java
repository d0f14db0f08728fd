/** Which software version of a service began a stream, so that it goes on at a server of that version only. */
@NullMarked
package io.hornbeamfield.core.stream;

import org.jspecify.annotations.NullMarked;
