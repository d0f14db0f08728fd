/** Request keys and the request registry. */
@NullMarked
package io.hornbeamfield.core.identity;

import org.jspecify.annotations.NullMarked;
