#include <stdbool.h>
#include <string.h>

#include "banyangap/gateway/admin.h"
#include "percent.h"

enum bgap_status
bgap_admin_query (const char *query, const char *name, char *value,
                  size_t capacity)
{
  size_t name_size = strlen (name);
  for (const char *item = query; *item != '\0';)
    {
      size_t size = strcspn (item, "&");
      if (size >= name_size && memcmp (item, name, name_size) == 0
          && (size == name_size || item[name_size] == '='))
        {
          const char *text = item + name_size;
          size_t text_size = size - name_size;
          size_t used = 0;
          if (text_size > 0)
            {
              text++;
              text_size--;
            }
          if (capacity == 0)
            return BGAP_ERR_FULL;
          enum bgap_status status = bgap_percent_decode (
              text, text_size, (unsigned char *)value, capacity - 1, &used);
          if (status != BGAP_OK)
            return status;
          value[used] = '\0';
          return memchr (value, '\0', used) ? BGAP_ERR_INVALID : BGAP_OK;
        }
      item += size + (item[size] == '&');
    }
  return BGAP_ERR_NOT_FOUND;
}
